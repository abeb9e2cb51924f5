import { expect, test } from "vitest";
import { createOwnershipSettings } from "../src/host/createOwnershipSettings.js";
import { OrderScheduler } from "../src/ownership/orderScheduler.js";
import { createHolder } from "./support/createHolder.js";
import { SAME_CLOCK } from "./support/sameClock.js";

const HOLD_MS = 9_000;

// Guards against orders that repeat a refused fencing token: a misdirected request makes the range's grant due again before it has a new
// one.
test("a refused grant is not sent again under its fencing token, although requests find that the owner lacks the key", () => {
    const map = {
        term: 1,
        fence: 1,
        ranges: [{ first: 0, last: 9, owner: createHolder("p"), fence: 1, previous: [] }],
    };
    const scheduler = new OrderScheduler(
        map,
        false,
        0,
        createOwnershipSettings(HOLD_MS, HOLD_MS),
        () => "live",
        SAME_CLOCK,
    );
    const [grant] = scheduler.takeDueOrders(0, true, 1);
    scheduler.complete(grant!, { kind: "fenced" }, 10);
    scheduler.renewSoon(5, 1_000);
    expect(scheduler.takeDueOrders(1_000, true, 1)).toEqual([]);
});
