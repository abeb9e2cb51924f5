import { expect, test } from "vitest";
import { printSession } from "./session/printSession.js";
import { type Cast, Session } from "./session/session.js";

const ONE_CENTRE: Cast = {
    seed: 1,
    centres: { north: { hosts: ["entry-1", "entry-2", "entry-3", "entry-4"], servers: ["b1", "b2", "b3", "b4"] } },
};

test("first assignment", async () => {
    const session = new Session(ONE_CENTRE);
    session.run(6000);
    const text = printSession(session, "First assignment");
    await expect(text).toMatchFileSnapshot("./golden/firstAssignment.txt");
});
