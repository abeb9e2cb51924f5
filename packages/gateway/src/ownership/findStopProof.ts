import type { Milliseconds } from "@arbutusdoor/common";
import { getHolderName } from "./getHolderName.js";
import type { HolderState } from "./holderState.js";
import type { KeyHolder } from "./keyHolder.js";
import type { LastGrant } from "./lastGrant.js";
import type { OwnershipSettings } from "./ownershipSettings.js";
import type { StopProof } from "./stopProof.js";

/** A holder that owns or once owned a range, and what is known of it. */
type KnownHolder = {
    readonly holder: KeyHolder;
    /** Whether the map names it the owner; as an earlier one it stays listed only for a grant, until it answers a release. */
    readonly isOwner: boolean;
    readonly state: HolderState;
    /** Grants of the range that holders may hold, by name; `undefined` when nothing is known of the range. */
    readonly lastGrants: ReadonlyMap<string, LastGrant> | undefined;
};

/**
 * Why a holder holds nothing of a range any more; `undefined` when it may.
 *
 * @param inheritedUntil until then coordinators before may have sent grants
 */
export function findStopProof(
    { holder, isOwner, lastGrants, state }: KnownHolder,
    inheritedUntil: Milliseconds,
    now: Milliseconds,
    settings: OwnershipSettings,
): StopProof | undefined {
    const untimed = { holder, grantAgeMs: undefined, isInherited: false };
    if (state === "dead") {
        return { ...untimed, cause: "dead" };
    }
    if (!lastGrants) {
        return undefined;
    }
    const grant = lastGrants.get(getHolderName(holder));
    if (!grant) {
        return { ...untimed, cause: isOwner ? "unsent" : "released" };
    }
    const last = grant.isInherited ? Math.max(grant.at, inheritedUntil) : grant.at;
    if (now < getLapse(last, settings)) {
        return undefined;
    }
    return last === -Infinity
        ? { ...untimed, cause: "unsent" }
        : { holder, cause: "lapsed", grantAgeMs: now - last, isInherited: last > grant.at };
}

/** When a grant has certainly lapsed that was last sent at a time. */
function getLapse(
    last: Milliseconds,
    { clockSlowness, holdMs, expiryMarginMs: lapseMarginMs, orderTimeoutMs }: OwnershipSettings,
): Milliseconds {
    return last + orderTimeoutMs + holdMs * (1 + clockSlowness) + lapseMarginMs;
}
