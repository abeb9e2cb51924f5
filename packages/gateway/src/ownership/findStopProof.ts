import type { Milliseconds } from "@arbutusdoor/common";
import { getGrantExpiry } from "./getGrantExpiry.js";
import { getHolderName } from "./getHolderName.js";
import { getLastGrantTime } from "./getLastGrantTime.js";
import type { HolderState } from "./holderState.js";
import type { KeyHolder } from "./keyHolder.js";
import type { LastGrant } from "./lastGrant.js";
import type { OwnershipSettings } from "./ownershipSettings.js";
import type { StopProof } from "./stopProof.js";

/** An owner or earlier owner of a range, and what is known about it. */
type KnownHolder = {
    readonly holder: KeyHolder;
    /** Whether it is the owner in the map. An earlier owner is listed only because of a grant, until it answers a release. */
    readonly isOwner: boolean;
    /** Whether the outcome of a grant of the range to the holder is not known yet. */
    readonly isPending: boolean;
    readonly state: HolderState;
    /** Grants of the range that may still be held, by holder name; `undefined` when nothing is known about the range. */
    readonly lastGrants: ReadonlyMap<string, LastGrant> | undefined;
};

/**
 * Returns the proof that a holder has stopped serving a range; `undefined` when it may still serve it.
 *
 * @param inheritedUntil time until which predecessors may have sent grants
 */
export function findStopProof(
    { holder, isOwner, isPending, lastGrants, state }: KnownHolder,
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
    const last = getLastGrantTime(grant, inheritedUntil);
    if (isPending || now < getGrantExpiry(last, settings)) {
        return undefined;
    }
    return last === -Infinity
        ? { ...untimed, cause: "unsent" }
        : { holder, cause: "lapsed", grantAgeMs: now - last, isInherited: last > grant.at };
}
