import type { Milliseconds } from "@arbutusdoor/common";

/** Half-life of the recent loads of keys. Shorter ones count too few requests of a key to compare servers. */
export const LOAD_HALF_LIFE_MS: Milliseconds = 1_500;
