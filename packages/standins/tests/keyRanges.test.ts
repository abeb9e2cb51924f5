import { ManualClock } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { KeyRanges } from "../src/rangeServer/keyRanges.js";

const SPAN = { first: 10, last: 20 };

function newSession() {
    const clock = new ManualClock(1_000);
    const ends: string[] = [];
    const keys = new KeyRanges(
        clock,
        ({ fence, from, key, until }) => ends.push(`${key} by ${fence}: ${from} to ${until}`),
    );
    return { clock, ends, keys };
}

test("a key is held from its grant to its release or the end of its lease, and a higher fence shuts lower ones out", () => {
    const { clock, keys } = newSession();
    keys.grant(SPAN, 3, 1_500);
    expect([keys.use(15), keys.use(21)]).toEqual([3, undefined]);
    clock.advance(500);
    expect([keys.use(15), keys.mayFinish(15, 3)]).toEqual([undefined, false]);
    keys.grant(SPAN, 4, 3_000);
    keys.release({ first: 10, last: 12 }, 5);
    expect([keys.use(11), keys.mayFinish(11, 4), keys.use(15)]).toEqual([undefined, true, 4]);
    expect([keys.isFenced({ first: 12, last: 13 }, 4), keys.isFenced({ first: 13, last: 20 }, 4)]).toEqual([
        true,
        false,
    ]);
});

test("the record of a key ends with its release, also when its first request comes later", () => {
    const { clock, ends, keys } = newSession();
    keys.grant(SPAN, 3, 9_000);
    clock.advance(100);
    keys.use(15);
    keys.release(SPAN, 4);
    clock.advance(50);
    keys.endTenures(SPAN);
    clock.advance(50);
    expect(keys.use(16)).toBeUndefined();
    keys.grant(SPAN, 5, 9_000);
    expect(ends).toEqual(["15 by 3: 1000 to 1150"]);
    expect(keys.list().map(({ fence, from, key }) => `${key} by ${fence} from ${from}`)).toEqual([
        "15 by 5 from 1200",
        "16 by 5 from 1200",
    ]);
});
