import { getNameHash, type HostId, type ServerId } from "@arbutusdoor/common";

const HASH_RANGE = 2 ** 32;

/**
 * Whether a host is among those that may send to a cold server. A host that is chosen with one probability is also chosen with any higher
 * one, so hosts that disagree about their number differ only in few choices.
 */
export function isChosen(host: HostId, server: ServerId, probability: number): boolean {
    return getNameHash(`${host} ${server}`) < probability * HASH_RANGE;
}
