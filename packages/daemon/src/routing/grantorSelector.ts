import { getKeyHash, type HostId, type RefusalReason } from "@arbutusdoor/common";
import type { Route } from "@arbutusdoor/ownership";

type OpenRoute = Extract<Route, { kind: "route"; }>;

/** Refusals after which another grantor of the same server may do better. */
const PASSED_ON: ReadonlySet<RefusalReason> = new Set([
    "ownerUnreachable",
    "relayNotReceived",
    "relayUnreachable",
    "staleOwner",
    "stopping",
]);

/**
 * Chooses the grantor for each attempt at a request. All hosts rank the grantors of a server alike, so that as a rule one
 * host sends to it and knows its free slots; a request goes down the ranks when a grantor cannot reach the server.
 */
export class GrantorSelector {
    private readonly tried = new Set<HostId>();
    private last: HostId | undefined;

    /** The best grantor that was not tried yet, or `undefined` when all were. */
    select(route: OpenRoute): HostId | undefined {
        const ranked = route.grantors
            .map(({ host }) => ({ host, rank: getKeyHash(`${route.server}/${host}`) }))
            .sort((left, right) => left.rank - right.rank);
        this.last = ranked.find(({ host }) => !this.tried.has(host))?.host;
        return this.last;
    }

    /** Notes how the last attempt was refused; true when another grantor is worth trying at once. */
    excludeLast(reason: RefusalReason): boolean {
        if (this.last === undefined || !PASSED_ON.has(reason)) {
            return false;
        }
        this.tried.add(this.last);
        return true;
    }

    /** Begins again with the first rank. */
    reset(): void {
        this.tried.clear();
        this.last = undefined;
    }
}
