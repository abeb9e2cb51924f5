import { expect, test } from "vitest";
import { createOwnershipSettings } from "../src/host/createOwnershipSettings.js";
import { OrderScheduler } from "../src/ownership/orderScheduler.js";
import { createHolder } from "./support/createHolder.js";

const HOLD_MS = 9_000;

// Guards against orders that repeat a refused fence: a misdirected request made the range's grant due again before it had a new one.
test("a grant that was refused is not sent again under its fence, though requests find that the owner lacks the key", () => {
    const map = {
        term: 1,
        fence: 1,
        ranges: [{ first: 0, last: 9, owner: createHolder("p"), fence: 1, previous: [] }],
    };
    const keeper = new OrderScheduler(map, false, 0, createOwnershipSettings(HOLD_MS, HOLD_MS), () => "live");
    const [grant] = keeper.takeDueOrders(0, true, 1);
    keeper.complete(grant!, { kind: "fenced" }, 10);
    keeper.renewSoon(5, 1_000);
    expect(keeper.takeDueOrders(1_000, true, 1)).toEqual([]);
});
