import type { RandomSource } from "@arbutusdoor/common";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { RangeChange } from "../../src/ownership/rangeChange.js";
import type { FaultProbabilities } from "./faultProbabilities.js";

const JOINED_RANGES = 3;

/** What a coordinator of a random run knows of the servers. */
type KnownServers = {
    /** Those that may get keys. */
    readonly servers: readonly KeyHolder[];
    readonly isLive: (owner: KeyHolder) => boolean;
    readonly isUnresponsive: (holder: KeyHolder) => boolean;
    /** Whether ranges go to a newer incarnation of their owner, where there is one. */
    readonly isReturning: boolean;
};

/** Returns the changes of a map that a random run makes: owners that cannot keep their keys lose them, some ranges move without need. */
export function pickChanges(
    { ranges }: KeyMap,
    random: RandomSource,
    { join, move }: FaultProbabilities,
    { isLive, isReturning, isUnresponsive, servers }: KnownServers,
): readonly RangeChange[] {
    if (servers.length === 0) {
        return [];
    }
    const reachable = servers.filter(holder => !isUnresponsive(holder));
    const targets = reachable.length > 0 ? reachable : servers;
    const joined = join !== undefined && random.nextFraction() < join ? random.pick(servers) : undefined;
    const firstJoined = joined ? random.nextInteger(ranges.length - JOINED_RANGES) : 0;
    return ranges.flatMap(({ first, last, owner }) => {
        if (joined && first >= firstJoined && first < firstJoined + JOINED_RANGES) {
            return [{ first, last, owner: joined }];
        }
        const isGone = !isLive(owner) || isUnresponsive(owner);
        const isMoved = isGone || random.nextFraction() < move;
        const newer = isReturning && isGone ? targets.find(({ id }) => id === owner.id) : undefined;
        return isMoved ? [{ first, last, owner: newer ?? random.pick(targets) }] : [];
    });
}
