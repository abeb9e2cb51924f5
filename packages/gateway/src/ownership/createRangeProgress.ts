import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { getHolderName } from "./getHolderName.js";
import type { LastGrant } from "./lastGrant.js";
import type { OwnedRange } from "./ownedRange.js";
import type { RangeProgress } from "./rangeProgress.js";

/** Maximum number of owners removed since the last grant that are reported with the next grant; a range rarely has more than two. */
const REMOVED_OWNER_LIMIT = 8;

/**
 * Creates the progress of a range of a committed map. When a change made the range from a source range, the grants that holders may hold
 * are taken over from there. Without a source, a predecessor may have granted the range to any holder that it lists.
 *
 * @param previousUntil without a source: time by this host's clock after which the earlier owners got no grants, where that is known
 */
export function createRangeProgress(
    range: OwnedRange,
    source?: OwnedRange,
    before?: RangeProgress,
    previousUntil?: Milliseconds,
): RangeProgress {
    const names = [range.owner, ...range.previous].map(getHolderName);
    if (!source || !before) {
        const inherited: LastGrant = { at: -Infinity, isInherited: true };
        const earlier: LastGrant = previousUntil === undefined
            ? inherited
            : { at: previousUntil, isInherited: false };
        return createProgress(
            new Map([
                ...range.previous.map((holder): [string, LastGrant] => [getHolderName(holder), earlier]),
                [getHolderName(range.owner), inherited],
            ]),
        );
    }
    const lastGrants = new Map([...before.lastGrants].filter(([name]) => names.includes(name)));
    const ownGrant = mergeGrants(
        listIncarnationNames(source, range.owner.id).map(name => before.lastGrants.get(name)),
    );
    if (ownGrant) {
        lastGrants.set(getHolderName(range.owner), ownGrant);
    }
    const { answeredAt, grantSentAt, handover, isHeld } = before;
    const removedOwners = grantSentAt === -Infinity
        ? before.removedOwners.slice(1 - REMOVED_OWNER_LIMIT)
        : [];
    return source.fence === range.fence
        ? { ...createProgress(lastGrants), answeredAt, removedOwners, grantSentAt, handover, isHeld }
        : { ...createProgress(lastGrants), removedOwners };
}

/** Returns the names of the incarnations of a server that own or owned a range. */
function listIncarnationNames({ owner, previous }: OwnedRange, id: ServerId): readonly string[] {
    return [owner, ...previous].filter(holder => holder.id === id).map(getHolderName);
}

/** Merges grants to incarnations of one server: orders name a server by its id alone, so a grant to one may have reached another. */
function mergeGrants(grants: readonly (LastGrant | undefined)[]): LastGrant | undefined {
    const known = grants.filter(grant => grant !== undefined);
    return known.length > 0
        ? {
            at: Math.max(...known.map(({ at }) => at)),
            isInherited: known.some(({ isInherited }) => isInherited),
        }
        : undefined;
}

function createProgress(lastGrants: RangeProgress["lastGrants"]): RangeProgress {
    return {
        isHeld: false,
        grantSentAt: -Infinity,
        answeredAt: -Infinity,
        dueAt: -Infinity,
        pendingOrders: 0,
        handover: undefined,
        lastGrants,
        lastOrder: undefined,
        removedOwners: [],
    };
}
