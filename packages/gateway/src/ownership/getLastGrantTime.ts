import type { Milliseconds } from "@arbutusdoor/common";
import type { LastGrant } from "./lastGrant.js";

/**
 * Returns the time by which the last grant was sent, by this coordinator or a predecessor.
 *
 * @param inheritedUntil time until which predecessors may have sent grants
 */
export function getLastGrantTime(grant: LastGrant, inheritedUntil: Milliseconds): Milliseconds {
    return grant.isInherited ? Math.max(grant.at, inheritedUntil) : grant.at;
}
