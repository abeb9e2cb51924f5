import type { HostId, HostIncarnation, Milliseconds, RandomSource } from "@arbutusdoor/common";

const RADIX = 36;
const RANDOM_BOUND = 36 ** 5;

/** Names an incarnation of the daemon by host, start time and a random part, which distinguishes quick restarts. */
export function createIncarnation(
    host: HostId,
    startedAt: Milliseconds,
    random: RandomSource,
): HostIncarnation {
    const time = Math.floor(startedAt).toString(RADIX);
    const suffix = random.nextInteger(RANDOM_BOUND).toString(RADIX);
    return `${host}-${time}-${suffix}` as HostIncarnation;
}
