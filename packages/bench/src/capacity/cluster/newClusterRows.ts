import type { Row } from "@arbutusdoor/clients";
import type { DataCentreId, ServerId, ServerIncarnation, ServiceId, SliceId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import { type AssignmentRow, ROW_KEYS, type ServerRow, type Slice } from "@arbutusdoor/ownership";
import type { ClusterSize } from "./clusterSize.js";
import { newPeerIdentity } from "./newPeerIdentity.js";

const GRANTORS = 3;
const PROMISES = 1;
const POSITIONS = 2 ** 32;
const CENTRE = "centre-0" as DataCentreId;

/** The committed rows of a cluster at rest: all slices are held, and the first servers have host 0 as a grantor. */
export function newClusterRows(declaration: Declaration, size: ClusterSize): readonly Row[] {
    const servers = declaration.servers.map((server, index): ServerRow => ({
        server: server.name as ServerId,
        service: server.service as ServiceId,
        dataCentre: CENTRE,
        address: server.address,
        checksOrders: true,
        incarnation: getIncarnation(index),
        epoch: 1,
        attestations: [],
        list: { listVersion: 1, promises: PROMISES, grantors: listGrantors(index, size) },
        operationId: "entry-0-k3v9x2m1-1",
    }));
    return [
        ...servers.map(value => ({ key: ROW_KEYS.server(value.server), version: 1, value })),
        ...listShards(size).map(value => ({
            key: ROW_KEYS.assignment(value.service, value.shard),
            version: 1,
            value,
        })),
    ];
}

function listGrantors(index: number, { granted, peers }: ClusterSize): ServerRow["list"]["grantors"] {
    const others = Math.min(peers, index < granted ? GRANTORS - 1 : GRANTORS);
    const numbers = [...Array(others).keys()].map(step => 1 + (index * GRANTORS + step) % peers);
    const all = index < granted ? [0, ...numbers] : numbers;
    return all.map(newPeerIdentity).map(({ host, incarnation }) => ({ host, incarnation }));
}

function listShards({ servers, slices, slicesPerShard }: ClusterSize): readonly AssignmentRow[] {
    const all = [...Array(slices).keys()].map(index => newSlice(index, slices, servers));
    const shards: AssignmentRow[] = [];
    for (let start = 0; start < slices; start += slicesPerShard) {
        shards.push({
            service: "board-0" as ServiceId,
            shard: shards.length,
            slices: all.slice(start, start + slicesPerShard),
            operationId: "entry-0-k3v9x2m1-2",
        });
    }
    return shards;
}

function newSlice(index: number, slices: number, servers: number): Slice {
    const owner = index % servers;
    return {
        slice: `range-${index}` as SliceId,
        from: Math.floor(index * POSITIONS / slices),
        to: Math.floor((index + 1) * POSITIONS / slices),
        generation: 1,
        home: CENTRE,
        owner: { server: `server-${owner}` as ServerId, incarnation: getIncarnation(owner), epoch: 1 },
        former: [],
    };
}

function getIncarnation(index: number): ServerIncarnation {
    return `server-${index}-k3v9x2m1` as ServerIncarnation;
}
