import type { ServerId, ServiceId } from "@arbutusdoor/common";
import { dispatch, getRoute, type HostState } from "@arbutusdoor/ownership";
import type { ClusterSize } from "../cluster/clusterSize.js";
import { DrivenHost } from "../cluster/drivenHost.js";
import { measureHeap } from "../measure/measureHeap.js";
import { scaleSizes } from "../measure/scaleSizes.js";
import { timeCall } from "../measure/timeCall.js";
import { STUDIES } from "../studies.js";

const SECOND_MS = 1_000;
const SETTLE_MS = 1_000;
const SECONDS = 5;
const LOOKUPS = 1_000;
const SERVICE = "board-0" as ServiceId;
const BASE: ClusterSize = { peers: 16, servers: 64, slices: 512, granted: 16, slicesPerShard: 64 };

/** What one host does in a second of rest, the scans of the table apart. */
function measureRest(size: ClusterSize): Readonly<Record<string, number>> {
    const host = new DrivenHost(size, false);
    host.clock.advance(SETTLE_MS);
    const traffic = host.measure(SECONDS * SECOND_MS);
    const scanUs = traffic.processorUs.get("tableRead")?.total ?? 0;
    return {
        "tick us": traffic.getMeanUs("tick"),
        "renewal us": traffic.getMeanUs("orderReply"),
        "peer message us": traffic.getMeanUs("peerMessage"),
        "request us": timeRequest(host.state, host.clock.now()),
        "decisions us/s": (traffic.getTotalUs() - scanUs) / SECONDS,
        "orders/s": traffic.orders / SECONDS,
        "order bytes/s": traffic.orderBytes / SECONDS,
        "messages/s": traffic.messages / SECONDS,
        "message bytes/s": traffic.messageBytes / SECONDS,
    };
}

/** Time of noting the start and the end of one request. */
function timeRequest(state: HostState, now: number): number {
    const server = Object.keys(state.grants)[0] as ServerId;
    const slice = Object.values(state.slices[SERVICE]!.byName)[0]!.slice;
    const input = { server, service: SERVICE, slice };
    return timeCall(() => {
        const started = dispatch(state, { kind: "requestStarted", ...input }, now).state;
        dispatch(started, { kind: "requestEnded", ...input }, now);
    });
}

STUDIES.register({
    name: "grantor-by-grants",
    question: "An entry host at rest, against the servers whose leases it renews.",
    axis: "granted",
    run: options =>
        scaleSizes([8, 16, 32, 64], options).map(granted => ({
            granted,
            ...measureRest({ ...BASE, granted }),
        })),
});

STUDIES.register({
    name: "grantor-by-servers",
    question: "The same with 16 grants, against all servers known (8 slices each, one service).",
    axis: "servers",
    run: options =>
        scaleSizes([125, 250, 500, 1_000], options).map(servers => ({
            servers,
            ...measureRest({ ...BASE, servers, slices: servers * 8 }),
        })),
});

STUDIES.register({
    name: "grantor-by-peers",
    question: "The same with 16 grants and 64 servers, against the peers that a link is up to.",
    axis: "peers",
    run: options =>
        scaleSizes([50, 100, 200, 400], options).map(peers => ({
            peers,
            ...measureRest({ ...BASE, peers }),
        })),
});

STUDIES.register({
    name: "rows-and-look-ups",
    question: "Memory, look-ups and scans of an entry host, against the slices known (8 for each server).",
    axis: "slices",
    run: options => scaleSizes([1_000, 2_000, 4_000, 8_000], options).map(measureRows),
});

function measureRows(slices: number): Readonly<Record<string, number>> {
    const servers = Math.ceil(slices / 8);
    const size = { ...BASE, servers, slices, granted: Math.min(16, servers) };
    const { value: host, bytes } = measureHeap(() => new DrivenHost(size, false));
    const first = host.measure(SETTLE_MS);
    const adoptUs = first.processorUs.get("tableRead")?.total ?? 0;
    const rest = host.measure(SECONDS * SECOND_MS);
    const rows = [...host.rows.scan("")].length;
    const scans = rest.reads / 3;
    return {
        slices,
        "memory KB": bytes / 1_024,
        "look-up us": timeCall(() => lookUp(host.state)) / LOOKUPS,
        rows,
        "first scan us": adoptUs,
        "repeated scan us": rest.getMeanUs("tableRead") * 3,
        "scan bytes": rest.bytesRead / Math.max(1, scans),
    };
}

function lookUp(state: HostState): void {
    for (let number = 0; number < LOOKUPS; number++) {
        getRoute(state, SERVICE, `key-${number}`);
    }
}
