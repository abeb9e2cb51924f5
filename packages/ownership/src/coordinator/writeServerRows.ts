import type { DataCentreId, Milliseconds, ServerId, ServerIncarnation, ServiceId } from "@arbutusdoor/common";
import type { Server } from "@arbutusdoor/configuration";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import { canWrite } from "../table/canWrite.js";
import { startTransaction } from "../table/startTransaction.js";
import { chooseGrantors } from "./chooseGrantors.js";
import { createGrantorList } from "./createGrantorList.js";

/** Writes rows for declared servers that have answered a probe and have no row yet. */
export function writeServerRows(state: HostState, now: Milliseconds): Step {
    const { servers = [] } = state.configuration?.declaration ?? {};
    return sequence(state, ...servers.map(server => (current: HostState) => createOne(current, server, now)));
}

function createOne(state: HostState, server: Server, now: Milliseconds): Step {
    const name = server.name as ServerId;
    const incarnation = state.coordinator.probes[name]?.incarnation;
    const key = ROW_KEYS.server(name);
    if (state.servers[name] || incarnation === undefined || !canWrite(state, [key])) {
        return { state, effects: [] };
    }
    const grantors = chooseGrantors(state, name, [], now);
    if (grantors.length === 0) {
        return { state, effects: [] };
    }
    const value = createServerRow(server, incarnation, createGrantorList(state.settings, 1, grantors));
    return startTransaction(state, [{ key, expectedVersion: 0, value }], now);
}

function createServerRow(
    server: Server,
    incarnation: ServerIncarnation,
    list: ServerRow["list"],
): ServerRow {
    return {
        server: server.name as ServerId,
        service: server.service as ServiceId,
        dataCentre: server.dataCentre as DataCentreId,
        address: server.address,
        checksOrders: server.checksOrders,
        incarnation,
        epoch: 1,
        attestations: [],
        list,
        operationId: "",
    };
}
