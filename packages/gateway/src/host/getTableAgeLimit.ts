import type { Milliseconds } from "@arbutusdoor/common";
import type { HostSettings } from "../settings/hostSettings.js";

/** Part of the time in which changes have to take effect that is left to a host that has to read the store itself. */
const FALLBACK_MS = 800;

/** Returns the age of a table beyond which a host has to read it itself. */
export function getTableAgeLimit({ bounds: { applyMs, drainMs } }: HostSettings): Milliseconds {
    return Math.min(applyMs, drainMs) - FALLBACK_MS;
}
