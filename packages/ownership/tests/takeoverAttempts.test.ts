import {
    createHostState,
    dispatch,
    type HostIdentity,
    type HostState,
    OwnershipSettings,
} from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { SETUPS } from "./simulation/setups.js";
import { Simulation } from "./simulation/simulation.js";

function createIdentity(host: string, run: number): HostIdentity {
    return {
        host,
        incarnation: `${host}#${run}`,
        dataCentre: "north",
        address: "10.0.0.1:1",
    } as HostIdentity;
}

/** A coordinator during a takeover attempt against b1, whose grantor list is to change from the first incarnation of e2 to the second. */
function createCoordinator(): HostState {
    const settings = OwnershipSettings.parse({});
    const empty = createHostState(createIdentity("e1", 1), settings);
    const { declaration } = new Simulation(SETUPS.oneCentre);
    const attempt = {
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
        peers: { e2: { identity: createIdentity("e2", 2), isUp: true, changedAt: 0, isResigning: false } },
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
    const from = createIdentity("e3", 1);
    const known = dispatch(state, { kind: "peerMessage", from, message: { kind: "rows", rows } }, 1000).state;
    return {
        ...known,
        coordinator: { ...known.coordinator, takeovers: { b1: attempt } },
    } as never as HostState;
}

test("the confirmation of one incarnation of an entry host does not count as that of another", () => {
    const message = { kind: "barConfirmed", server: "b1", barId: 7, basisVersion: 5, denied: [] } as never;
    const writes = (run: readonly number[]) => {
        let state = createCoordinator();
        const effects = run.flatMap(number => {
            const input = { kind: "peerMessage", from: createIdentity("e2", number), message } as const;
            const step = dispatch(state, input, 1010);
            state = step.state;
            return step.effects;
        });
        return effects.filter(effect => effect.kind === "transact").length;
    };
    expect({ second: writes([2]), both: writes([2, 1]) }).toEqual({ second: 0, both: 1 });
});

test("a revocation that a newer version of the row has ended makes the coordinator write nothing", () => {
    const writes = (isBarred: boolean, rowVersion: number) => {
        const { coordinator, ...state } = createCoordinator();
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
            from: createIdentity("e2", 2),
            message: { kind: "serverReport", report },
        } as never;
        const step = dispatch({ ...state, coordinator: { ...coordinator, takeovers: {} } }, input, 1010);
        return step.effects.filter(effect => effect.kind === "transact").length;
    };
    const found = { none: writes(false, 5), ended: writes(true, 4), standing: writes(true, 5) };
    expect(found).toEqual({
        none: 0,
        ended: 0,
        standing: 1,
    });
});
