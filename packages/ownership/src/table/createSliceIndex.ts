import type { ServerId, ServiceId, SliceId } from "@arbutusdoor/common";
import type { Slice } from "../rows/slice.js";
import type { HostState } from "../state/hostState.js";
import type { SliceIndex } from "../state/sliceIndex.js";

/** Creates the index of a service's slices from its assignment rows. */
export function createSliceIndex(assignments: HostState["assignments"], service: ServiceId): SliceIndex {
    const slices = Object.values(assignments)
        .filter(({ value }) => value.service === service)
        .flatMap(({ value }) => value.slices);
    const ranges = slices.filter(slice => slice.key === undefined);
    const single = slices.filter(slice => slice.key !== undefined);
    return {
        ranges: ranges.sort((left, right) => left.from - right.from),
        keys: Object.fromEntries(single.map(slice => [slice.key, slice])),
        byName: Object.fromEntries(slices.map(slice => [slice.slice, slice])) as Record<SliceId, Slice>,
        byHolder: groupByHolder(slices),
    };
}

function groupByHolder(slices: readonly Slice[]): SliceIndex["byHolder"] {
    const groups: Record<ServerId, Slice[]> = {};
    for (const slice of slices) {
        for (const server of listHolders(slice)) {
            groups[server] ??= [];
            groups[server].push(slice);
        }
    }
    return groups;
}

/** The owner and all former holders, each once. */
function listHolders({ owner, former }: Slice): ReadonlySet<ServerId> {
    const holders = new Set(former.map(({ server }) => server));
    if (owner) {
        holders.add(owner.server);
    }
    return holders;
}
