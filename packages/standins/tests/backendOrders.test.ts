import type { HostIncarnation, ServerIncarnation } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { waitUntil } from "../../clients/tests/support/waitUntil.js";
import { newGrantor } from "./support/newGrantor.js";
import { newSlice } from "./support/newSlice.js";
import { ServerSession } from "./support/serverSession.js";

const [h1, h2, h3] = ["h1", "h2", "h3"].map(newGrantor) as [
    ReturnType<typeof newGrantor>,
    ReturnType<typeof newGrantor>,
    ReturnType<typeof newGrantor>,
];

test("an order is taken only from a grantor of the list, for this run, at no lower version or epoch", async () => {
    const session = await ServerSession.start();
    const first = { listVersion: 2, grantors: [h1, h2], epoch: 3, leaseUntil: 600 };
    const take = [newSlice("a", 1)];
    const steps = {
        probe: {
            incarnation: undefined,
            listVersion: 9,
            grantors: [h3],
            from: h3,
            epoch: 9,
            leaseUntil: 900,
            take,
        },
        noList: { listVersion: 2, epoch: 3 },
        strangerWithList: { ...first, from: h3, take },
        first: { ...first, take },
        earlierRun: { ...first, incarnation: "s1-0" as ServerIncarnation },
        secondGrantor: { ...first, from: h2, grantors: undefined, take: [newSlice("b", 1)] },
        stranger: { ...first, from: h3, grantors: [h3] },
        otherRunOfGrantor: { ...first, from: { ...h1, incarnation: "h1-2" as HostIncarnation } },
        lowerList: { ...first, listVersion: 1 },
        unknownList: { ...first, listVersion: 3, grantors: undefined },
        lowerEpoch: { ...first, epoch: 2 },
        newList: { ...first, listVersion: 3, grantors: [h3], from: h3 },
        replacedGrantor: { ...first, listVersion: 3, grantors: undefined },
        higherEpoch: {
            ...first,
            listVersion: 3,
            grantors: undefined,
            from: h3,
            epoch: 4,
            take: [newSlice("b", 2)],
        },
    };
    const replies: unknown[] = [];
    for (const [name, changes] of Object.entries(steps)) {
        const { listVersion, epoch, isAccepted, reason, taken, heldCount } = await session.order(changes);
        replies.push({ name, listVersion, epoch, isAccepted, reason, taken: taken.length, heldCount });
    }
    expect(replies).toMatchSnapshot();
    expect(session.list("orderRefused").length).toBe(
        replies.filter(reply => !(reply as { isAccepted: boolean; }).isAccepted).length,
    );
});

test("a take at or below a fence or below what is held is refused", async () => {
    const session = await ServerSession.start();
    await session.hold(600, newSlice("a", 5), newSlice("b", 1));
    const fenced = await session.order({ fence: [newSlice("a", 6), newSlice("c", 3)] });
    const taken = await session.order({
        take: [newSlice("a", 6), newSlice("a", 5), newSlice("b", 1), newSlice("c", 3), newSlice("d", 0)],
    });
    const again = await session.order({
        take: [newSlice("a", 7), newSlice("b", 0)],
        fence: [newSlice("a", 6)],
    });
    expect({ fenced, taken, again }).toMatchSnapshot();
});

test("a lease never shortens, and once it has lapsed by the server's own clock nothing is held", async () => {
    const session = await ServerSession.start({ clockOffsetMs: 10_000 });
    await session.hold(10_600, newSlice("a", 1));
    await session.order({ leaseUntil: 10_100 });
    session.clock.advance(599);
    const before = await session.order({ leaseUntil: 10_600 });
    session.clock.advance(1);
    const late = await session.order({ leaseUntil: 10_600, take: [newSlice("b", 1)] });
    const renewed = await session.order({ leaseUntil: 11_200 });
    const retaken = await session.order({ leaseUntil: 11_200, take: [newSlice("a", 1)] });
    session.clock.advance(200);
    expect({
        held: [before, late, renewed, retaken].map(reply => reply.heldCount),
        taken: [late.taken, retaken.taken],
        owned: session.list("owned"),
    }).toMatchSnapshot();
});

test("a fence is acknowledged only once the slice's running work has ended, and lets no more begin", async () => {
    const session = await ServerSession.start();
    await session.hold(600, newSlice("a", 1));
    const running = session.request({ slice: newSlice("a", 1) });
    await session.untilDue(10);
    const early = await session.order({ fence: [newSlice("a", 2)] });
    const refused = await session.request({ slice: newSlice("a", 1) });
    session.clock.advance(10);
    const answer = await running;
    const late = await session.order({ fence: [newSlice("a", 2)] });
    expect({ early: early.fenced, refused, answer, late: late.fenced, journal: session.read() })
        .toMatchSnapshot();
});

test("the work of a lapsed lease is cancelled", async () => {
    const session = await ServerSession.start({ serviceMs: 1_000 });
    await session.hold(600, newSlice("a", 1));
    const running = session.request({ slice: newSlice("a", 1) });
    await waitUntil(() => session.list("run").length === 1);
    session.clock.advance(600);
    expect(await running).toBe("unknown");
    expect(session.read()).toMatchSnapshot();
});

test.each([false, true])(
    "a frozen server wakes with what was buffered (its clock stood still: %s)",
    async stopsClock => {
        const session = await ServerSession.start();
        await session.hold(600, newSlice("a", 1));
        await session.server.setFaults({ isFrozen: true, stopsClock });
        const renewal = session.order({ leaseUntil: 700 });
        await waitUntil(() => session.server.heldCount === 1);
        const request = session.request({ slice: newSlice("a", 1) });
        await waitUntil(() => session.server.heldCount === 2);
        session.clock.advance(5_000);
        await session.server.setFaults({});
        const { heldCount, clock } = await renewal;
        await waitUntil(() => session.list("run").length + session.list("refused").length === 1);
        session.clock.advance(10);
        expect({ heldCount, clock, request: await request, journal: session.read() }).toMatchSnapshot();
    },
);

test("a server that checks nothing takes any order, runs any request and acknowledges no fence", async () => {
    const session = await ServerSession.start({ checksOrders: false });
    const stale = {
        incarnation: "s1-0" as ServerIncarnation,
        from: h3,
        listVersion: 0,
        epoch: 0,
        leaseUntil: 600,
    };
    const reply = await session.order({ ...stale, take: [newSlice("a", 1)], fence: [newSlice("b", 1)] });
    const request = session.request({ slice: newSlice("z", 9) });
    await session.untilDue(10);
    session.clock.advance(10);
    expect({ reply, request: await request }).toMatchSnapshot();
});
