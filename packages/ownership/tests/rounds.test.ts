import {
    createHostState,
    dispatch,
    type HostIdentity,
    type HostState,
    OwnershipSettings,
} from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { SETUPS } from "./session/setups.js";
import { Simulation } from "./session/simulation.js";

function newIdentity(host: string, run: number): HostIdentity {
    return {
        host,
        incarnation: `${host}#${run}`,
        dataCentre: "north",
        address: "10.0.0.1:1",
    } as HostIdentity;
}

/** A decider in the middle of a round against b1, whose list is to change from the first run of e2 to the second. */
function newDecider(): HostState {
    const settings = OwnershipSettings.parse({});
    const empty = createHostState(newIdentity("e1", 1), settings);
    const { declaration } = new Simulation(SETUPS.oneCentre);
    const round = {
        barId: 7,
        basisVersion: 5,
        incarnation: "b1#1",
        confirmed: [],
        denials: {},
        operations: [],
        isAbandoned: false,
        sentAt: 1000,
    };
    const state = {
        ...empty,
        peers: { e2: { identity: newIdentity("e2", 2), isUp: true, changedAt: 0, isResigning: false } },
        configuration: { version: 1, declaration },
        table: {
            ...empty.table,
            nextScanAt: 1e9,
            scanned: { "server/": 1, "assignment/": 1, "attested/": 1 },
        },
        coordinator: { ...empty.coordinator, isHeld: true, nextCheckAt: 1e9, rowSeenAt: 1000 },
    } as HostState;
    const value = {
        server: "b1",
        service: "board",
        dataCentre: "north",
        address: "b1:1",
        checksOrders: true,
        incarnation: "b1#1",
        epoch: 1,
        list: { listVersion: 1, promises: 1, grantors: [{ host: "e2", incarnation: "e2#1" }] },
        change: { listVersion: 2, promises: 1, grantors: [{ host: "e2", incarnation: "e2#2" }] },
        attestations: [],
        operationId: "x",
    };
    const rows = [{ key: "server/b1" as never, version: 5, value }];
    const from = newIdentity("e3", 1);
    const known = dispatch(state, { kind: "peerMessage", from, message: { kind: "rows", rows } }, 1000).state;
    return {
        ...known,
        coordinator: { ...known.coordinator, takeovers: { b1: round } },
    } as never as HostState;
}

test("the word of one run of an entry host is not that of another run", () => {
    const message = { kind: "barConfirmed", server: "b1", barId: 7, basisVersion: 5, denied: [] } as never;
    const writes = (run: readonly number[]) => {
        let state = newDecider();
        const effects = run.flatMap(number => {
            const input = { kind: "peerMessage", from: newIdentity("e2", number), message } as const;
            const step = dispatch(state, input, 1010);
            state = step.state;
            return step.effects;
        });
        return effects.filter(effect => effect.kind === "transact").length;
    };
    expect({ second: writes([2]), both: writes([2, 1]) }).toEqual({ second: 0, both: 1 });
});

test("a bar that a version of the row has ended already makes the decider write nothing", () => {
    const writes = (isBarred: boolean, rowVersion: number) => {
        const { coordinator: decider, ...state } = newDecider();
        const report = {
            server: "b1",
            incarnation: "b1#1",
            listVersion: 1,
            epoch: 1,
            isLeaving: false,
            isBarred,
            rowVersion,
            isSuspect: false,
            silence: 10,
        };
        const input = {
            kind: "peerMessage",
            from: newIdentity("e2", 2),
            message: { kind: "serverReport", report },
        } as never;
        const step = dispatch({ ...state, coordinator: { ...decider, takeovers: {} } }, input, 1010);
        return step.effects.filter(effect => effect.kind === "transact").length;
    };
    const found = { none: writes(false, 5), ended: writes(true, 4), standing: writes(true, 5) };
    expect(found).toEqual({
        none: 0,
        ended: 0,
        standing: 1,
    });
});
