import type { ServerId, SliceId } from "@arbutusdoor/common";
import { Objective } from "@arbutusdoor/configuration";
import fc from "fast-check";
import { expect, test } from "vitest";
import { type Move, type MovePlanInput, MovePlanSettings, planMoves } from "../../src/index.js";

const NOW_MS = 1_000_000;
const AQABA = Objective.parse({ imbalance: 0.8, churn: 0.1, unavailability: 0.1, restMs: 30_000 });
const LIMA = Objective.parse({ imbalance: 0.1, churn: 0.45, unavailability: 0.45, restMs: 300_000 });

test("load moves off the hottest server, as far as the operator's weights say", () => {
    const loads = [[0.9, 0.8, 0.7], [0.5, 0.5], [0.3, 0.2], [0.4, 0.3]];
    expect(describe(planMoves(createInput(loads, { objective: AQABA })))).toMatchInlineSnapshot(`
      [
        "0-0: server-0 to server-2 (balance)",
      ]
    `);
    expect(describe(planMoves(createInput(loads, { objective: LIMA })))).toMatchInlineSnapshot("[]");
    expect(describe(planMoves(createInput([[0.5], [0.5], [0.45]], {})))).toEqual([]);
});

test("leaving servers are emptied first, including pinned and recently moved slices, into servers below their load limit", () => {
    const input = createInput([[0.9, 0.4], [0.5], [0.1], []], {});
    const servers = input.servers.map((server, index) => ({
        ...server,
        state: index === 0 ? "leaving" as const : "active" as const,
        joinedAt: index === 3 ? NOW_MS - 1_000 : undefined,
    }));
    const assignment = input.assignment.map(placed => ({ ...placed, isPinned: true }));
    const history = assignment.map(({ slice }) => ({ slice, at: NOW_MS }));
    expect(describe(planMoves({ ...input, servers, assignment, history }))).toMatchInlineSnapshot(`
      [
        "0-0: server-0 to server-3 (leaving)",
        "0-1: server-0 to server-2 (leaving)",
      ]
    `);
});

test("a new server gets slices gradually", () => {
    const input = createInput([[0.3, 0.3, 0.3], [0.3, 0.3, 0.3], [0.3, 0.3, 0.3], []], { objective: AQABA });
    const counts = [0, 10_000, 20_000, 60_000].map(age => {
        const servers = input.servers.map((server, index) => ({
            ...server,
            joinedAt: index === 3 ? NOW_MS - age : undefined,
        }));
        return planMoves({ ...input, servers }).length;
    });
    expect(counts).toMatchInlineSnapshot(`
      [
        0,
        0,
        1,
        2,
      ]
    `);
});

test("a very hot key gets a slice of its own, once", () => {
    const input = createInput([[1.5, 0.1], [0.3], [0.3]], { objective: AQABA });
    const topKeys = [{ slice: "0-0" as SliceId, key: "south-beach", load: 1.4 }];
    const hot = { ...input, loads: { ...input.loads, topKeys } };
    const single = hot.assignment.map(placed => ({ ...placed, isSingleKey: placed.slice === "0-0" }));
    expect(describe(planMoves(hot))).toMatchInlineSnapshot(`
      [
        "split south-beach off 0-0 on server-0",
        "0-1: server-0 to server-2 (balance)",
      ]
    `);
    expect(describe(planMoves({ ...hot, assignment: single }))).toMatchInlineSnapshot(`
      [
        "0-1: server-0 to server-2 (balance)",
      ]
    `);
});

test("every plan is within its limits, the same each time, and moves each slice at most once, off its own server", () => {
    const loadsArbitrary = fc.array(fc.array(fc.double({ min: 0, max: 2, noNaN: true }), { maxLength: 8 }), {
        minLength: 1,
        maxLength: 8,
    });
    fc.assert(
        fc.property(loadsArbitrary, fc.array(fc.nat(7), { maxLength: 20 }), (loads, recent) => {
            const base = createInput(loads, { objective: AQABA });
            const history = recent.map(index => ({ slice: `${index}-0` as SliceId, at: NOW_MS - 20_000 }));
            const input = { ...base, history };
            const moves = planMoves(input).flatMap(move => move.kind === "move" ? move : []);
            const allowed = Math.max(0, input.objective.movesPerMinute - history.length);
            expect(moves.length).toBeLessThanOrEqual(allowed);
            expect(new Set(moves.map(({ slice }) => slice)).size).toBe(moves.length);
            for (const { slice, from, to } of moves) {
                expect(input.assignment.find(placed => placed.slice === slice)?.server).toBe(from);
                expect(to).not.toBe(from);
                expect(history.some(entry => entry.slice === slice)).toBe(false);
            }
            const reversed = { ...input, servers: [...input.servers].reverse() };
            expect(planMoves(reversed)).toEqual(planMoves(input));
        }),
        { seed: 1, numRuns: 300 },
    );
});

function createInput(loads: number[][], changes: Partial<MovePlanInput>): MovePlanInput {
    const slices = loads.flatMap((row, server) =>
        row.map((load, index) => ({ slice: `${server}-${index}` as SliceId, load }))
    );
    return {
        assignment: slices.map(({ slice }) => ({ slice, server: `server-${slice[0]}` as ServerId })),
        loads: { slices, topKeys: [] },
        servers: [...loads.keys()].map(index => ({
            server: `server-${index}` as ServerId,
            slots: 4,
            state: "active",
        })),
        objective: AQABA,
        now: NOW_MS,
        history: [],
        settings: MovePlanSettings.parse({}),
        ...changes,
    };
}

function describe(moves: readonly Move[]): string[] {
    return moves.map(move =>
        move.kind === "move"
            ? `${move.slice}: ${move.from} to ${move.to} (${move.reason})`
            : `split ${move.key} off ${move.slice} on ${move.server}`
    );
}
