import type { Milliseconds } from "@arbutusdoor/common";

/** Half-life of the lasting loads of servers: longer than the usual few seconds of a burst. */
export const LASTING_HALF_LIFE_MS: Milliseconds = 8_000;
