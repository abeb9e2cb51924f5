import type { ServerId } from "@arbutusdoor/common";
import { getHolderName } from "./getHolderName.js";
import type { LastGrant } from "./lastGrant.js";
import type { OwnedRange } from "./ownedRange.js";
import type { RangeProgress } from "./rangeProgress.js";

/** Owners without a grant since the last one that are told of with a grant; a range rarely has more than two. */
const DROPPED_LIMIT = 8;

/**
 * Progress with a range of a committed map. What holders may hold stays known when the range comes from another one by a change;
 * without a source, coordinators before may have granted it to whoever it names.
 */
export function createRangeProgress(
    range: OwnedRange,
    source?: OwnedRange,
    before?: RangeProgress,
): RangeProgress {
    const names = [range.owner, ...range.previous].map(getHolderName);
    if (!source || !before) {
        const grant: LastGrant = { at: -Infinity, isInherited: true };
        return newProgress(new Map(names.map(name => [name, grant])));
    }
    const lastGrants = new Map([...before.lastGrants].filter(([name]) => names.includes(name)));
    const ownGrant = mergeGrants(listLives(source, range.owner.id).map(name => before.lastGrants.get(name)));
    if (ownGrant) {
        lastGrants.set(getHolderName(range.owner), ownGrant);
    }
    const { answeredAt, grantSentAt, handover, isHeld } = before;
    const dropped = grantSentAt === -Infinity ? before.removedOwners.slice(1 - DROPPED_LIMIT) : [];
    return source.fence === range.fence
        ? { ...newProgress(lastGrants), answeredAt, removedOwners: dropped, grantSentAt, handover, isHeld }
        : { ...newProgress(lastGrants), removedOwners: dropped };
}

/** Names of the lives of a server that owned a range. */
function listLives({ owner, previous }: OwnedRange, id: ServerId): readonly string[] {
    return [owner, ...previous].filter(holder => holder.id === id).map(getHolderName);
}

/** Orders name a server by its id alone: a grant to one of its lives may have reached another. */
function mergeGrants(grants: readonly (LastGrant | undefined)[]): LastGrant | undefined {
    const known = grants.filter(grant => grant !== undefined);
    return known.length > 0
        ? {
            at: Math.max(...known.map(({ at }) => at)),
            isInherited: known.some(({ isInherited }) => isInherited),
        }
        : undefined;
}

function newProgress(lastGrants: RangeProgress["lastGrants"]): RangeProgress {
    return {
        isHeld: false,
        grantSentAt: -Infinity,
        answeredAt: -Infinity,
        dueAt: -Infinity,
        pendingOrders: 0,
        handover: undefined,
        lastGrants,
        removedOwners: [],
    };
}
