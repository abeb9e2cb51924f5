import type { HostId, HostIncarnation, Milliseconds, RandomSource } from "@arbutusdoor/common";

const RADIX = 36;
const RANDOM_BOUND = 36 ** 5;

/** Names one run of the daemon: host, start time and a random part, so that a quick restart has another name too. */
export function createIncarnation(
    host: HostId,
    startedAt: Milliseconds,
    random: RandomSource,
): HostIncarnation {
    const time = Math.floor(startedAt).toString(RADIX);
    const suffix = random.nextInteger(RANDOM_BOUND).toString(RADIX);
    return `${host}-${time}-${suffix}` as HostIncarnation;
}
