import type { Milliseconds, RandomSource } from "@arbutusdoor/common";
import type { ConfigurationSettings } from "./configurationSettings.js";

const GROWTH = 2;

/** Returns the delay in ms before retry `attempt` (from 1): doubles up to the maximum, jittered over its upper half. */
export function getBackoffMs(
    attempt: number,
    settings: Pick<ConfigurationSettings, "backoffMinMs" | "backoffMaxMs">,
    random: RandomSource,
): Milliseconds {
    const limit = Math.min(settings.backoffMaxMs, settings.backoffMinMs * GROWTH ** (attempt - 1));
    return Math.round(limit / 2 + random.nextFraction() * limit / 2);
}
