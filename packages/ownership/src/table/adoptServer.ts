import type { Milliseconds } from "@arbutusdoor/common";
import type { Row } from "@arbutusdoor/platform";
import { syncGrant } from "../grantor/syncGrant.js";
import type { Step } from "../kernel/step.js";
import { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import { getServerEvents } from "./getServerEvents.js";

/** Takes a committed server row into the state, unless a newer one is known. Bars on older versions end with it. */
export function adoptServer(state: HostState, row: Row, now: Milliseconds): Step {
    const parsed = ServerRow.safeParse(row.value);
    if (!parsed.success || row.version <= getKnownVersion(state, row)) {
        return { state, effects: [] };
    }
    const { server } = parsed.data;
    const servers = { ...state.servers, [server]: { version: row.version, value: parsed.data } };
    const standing = (state.bars[server] ?? []).filter(bar => bar.basisVersion >= row.version);
    const bars = { ...state.bars, [server]: standing };
    const adopted = { ...state, servers, bars, isPlanDue: true };
    const before = state.servers[server]?.value;
    return {
        state: syncGrant(adopted, before, parsed.data, now),
        effects: state.decider.isHeld ? getServerEvents(before, parsed.data) : [],
    };
}

function getKnownVersion(state: HostState, row: Row): number {
    const server = (row.value as Partial<ServerRow> | undefined)?.server;
    return server === undefined ? 0 : state.servers[server]?.version ?? 0;
}
