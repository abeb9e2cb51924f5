import { expect, test } from "vitest";
import type { KeyOrder } from "../src/ownership/keyOrder.js";
import { createHolder } from "./support/createHolder.js";
import { OwnershipSession } from "./support/ownershipSession.js";

test("first grants, then renewals only", () => {
    const session = new OwnershipSession();
    session.run(5_000);
    expect(session.lines).toMatchSnapshot();
});

test("keys that move are released first and granted with the handover token", () => {
    const session = new OwnershipSession();
    session.run(1_000);
    session.move(0, 0, "b");
    session.run(1_000);
    expect(session.lines).toMatchSnapshot();
});

test("keys of a server that does not answer the release wait until its grants have expired", () => {
    const session = new OwnershipSession();
    session.run(1_000);
    session.setMode("a", "silent");
    session.move(0, 1, "b");
    session.run(5_000);
    expect(session.lines).toMatchSnapshot();
});

test("keys of a server that is proved dead do not wait", () => {
    const session = new OwnershipSession();
    session.run(1_000);
    session.setMode("a", "dead");
    session.move(0, 1, "b");
    session.run(1_000);
    expect(session.lines).toMatchSnapshot();
});

test("a coordinator that takes over during a move completes it, and no key has two holders", () => {
    const session = new OwnershipSession();
    session.run(1_000);
    session.setMode("a", "silent");
    session.move(0, 0, "b");
    session.run(300);
    session.takeOver();
    session.setMode("a", "up");
    session.run(6_000);
    expect(session.lines).toMatchSnapshot();
});

test("a grant that arrives after a newer one is refused by its fencing token", () => {
    const session = new OwnershipSession();
    session.run(1_000);
    session.move(0, 1, "b");
    session.run(200);
    session.move(0, 1, "a");
    session.run(200);
    const old: KeyOrder = {
        kind: "grant",
        first: 0,
        last: 1,
        holder: createHolder("b"),
        fence: 2,
        handover: undefined,
    };
    session.deliverLate(old, 1_000);
    session.run(200);
    expect(session.lines).toMatchSnapshot();
});
