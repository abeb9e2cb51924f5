import { getKeyHash, type HostId, type RefusalReason } from "@arbutusdoor/common";
import type { Route } from "@arbutusdoor/ownership";

type OpenRoute = Extract<Route, { kind: "route"; }>;

/** Refusals after which another grantor of the same server may succeed. */
const RETRIED_ELSEWHERE: ReadonlySet<RefusalReason> = new Set([
    "ownerUnreachable",
    "relayNotReceived",
    "relayUnreachable",
    "staleOwner",
    "stopping",
]);

/**
 * Selects the grantor for each attempt at a request. All hosts rank the grantors of a server in the same order, so that
 * normally a single host sends to the server and knows its free slots. A request moves on to the next rank when a grantor
 * cannot reach the server.
 */
export class GrantorSelector {
    private readonly tried = new Set<HostId>();
    private last: HostId | undefined;

    /** Returns the highest-ranked grantor that was not tried yet, or `undefined` when all were. */
    select(route: OpenRoute): HostId | undefined {
        const ranked = route.grantors
            .map(({ host }) => ({ host, rank: getKeyHash(`${route.server}/${host}`) }))
            .sort((left, right) => left.rank - right.rank);
        this.last = ranked.find(({ host }) => !this.tried.has(host))?.host;
        return this.last;
    }

    /** Excludes the last selected grantor if another may succeed after this refusal; returns whether it did. */
    excludeLast(reason: RefusalReason): boolean {
        if (this.last === undefined || !RETRIED_ELSEWHERE.has(reason)) {
            return false;
        }
        this.tried.add(this.last);
        return true;
    }

    /** Starts over with the first rank. */
    reset(): void {
        this.tried.clear();
        this.last = undefined;
    }
}
