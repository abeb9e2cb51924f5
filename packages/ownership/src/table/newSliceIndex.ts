import type { ServerId, ServiceId, SliceId } from "@arbutusdoor/common";
import type { Slice } from "../rows/slice.js";
import type { HostState } from "../state/hostState.js";
import type { SliceIndex } from "../state/sliceIndex.js";

/** Prepares the slices of a service for look-ups. */
export function newSliceIndex(assignments: HostState["assignments"], service: ServiceId): SliceIndex {
    const slices = Object.values(assignments)
        .filter(({ value }) => value.service === service)
        .flatMap(({ value }) => value.slices);
    const ranges = slices.filter(slice => slice.key === undefined);
    const single = slices.filter(slice => slice.key !== undefined);
    return {
        ranges: ranges.sort((left, right) => left.from - right.from),
        keys: Object.fromEntries(single.map(slice => [slice.key, slice])),
        byName: Object.fromEntries(slices.map(slice => [slice.slice, slice])) as Record<SliceId, Slice>,
        byServer: groupByServer(slices),
    };
}

function groupByServer(slices: readonly Slice[]): Readonly<Record<ServerId, readonly Slice[]>> {
    const groups = new Map<ServerId, Slice[]>();
    for (const slice of slices) {
        const holders = [slice.owner, ...slice.former].flatMap(holder => holder?.server ?? []);
        for (const server of new Set(holders)) {
            const group = groups.get(server) ?? [];
            groups.set(server, group);
            group.push(slice);
        }
    }
    return Object.fromEntries(groups) as Record<ServerId, readonly Slice[]>;
}
