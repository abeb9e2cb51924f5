import { ManualClock } from "@arbutusdoor/common";
import { expect, test } from "vitest";

test("actions run at their due time in order of scheduling, and cancelled ones do not run", () => {
    const clock = new ManualClock(100);
    const seen: string[] = [];
    clock.schedule(20, () => seen.push(`second at ${clock.now()}`));
    clock.schedule(10, () => {
        seen.push(`first at ${clock.now()}`);
        clock.schedule(5, () => seen.push(`nested at ${clock.now()}`));
    });
    clock.schedule(20, () => seen.push(`third at ${clock.now()}`));
    clock.schedule(15, () => seen.push("never")).cancel();
    clock.advance(30);
    expect({ seen, now: clock.now() }).toMatchInlineSnapshot(`
      {
        "now": 130,
        "seen": [
          "first at 110",
          "nested at 115",
          "second at 120",
          "third at 120",
        ],
      }
    `);
});
