import { getHolderName } from "./getHolderName.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyPlacement } from "./keyPlacement.js";
import { listOwners } from "./listOwners.js";
import type { OwnedRange } from "./ownedRange.js";
import { planEvacuation } from "./planEvacuation.js";
import type { RangeChange } from "./rangeChange.js";
import type { ServerCapacity } from "./serverCapacity.js";

/**
 * Ranges that move in one plan. Their keys are unserved until they are released and granted, at 10 orders of each kind every 20 ms; this many
 * take well under the interval between plans.
 */
const RANGES_PER_PLAN = 64;
/** With more ranges to move, this part of them moves in each plan, so that 1,000 ranges leave an evacuated data centre in 8 plans. */
const PART_PER_PLAN = 1 / 3;

/**
 * Plans new owners for ranges of live owners that hosts may send few or no requests: hottest ranges first. All ranges of an evacuated data
 * centre move. Of a cold owner only those that callers ask for move, and only to warm servers: moves have a cost, and ranges without load get
 * nothing from one.
 *
 * @param receivers servers that may get keys: none of an evacuated data centre, and cold ones only if all are cold
 * @param placement which owners are cold or evacuated; `undefined` where no owner has to give keys up
 * @param getLoad load of a range in requests a second
 */
export function planRelocation(
    map: KeyMap,
    receivers: readonly ServerCapacity[],
    placement: KeyPlacement | undefined,
    getLoad: (range: OwnedRange) => number,
): readonly RangeChange[] {
    if (!placement) {
        return [];
    }
    const areWarm = receivers.every(({ holder }) => !placement.staysCold(holder));
    const owners = listOwners(map);
    const evacuated = new Set(owners.filter(owner => placement.isEvacuated(owner)).map(getHolderName));
    const cold = new Set(owners.filter(owner => areWarm && placement.staysCold(owner)).map(getHolderName));
    if (evacuated.size + cold.size === 0) {
        return [];
    }
    const moving = map.ranges
        .map(range => ({ range, name: getHolderName(range.owner) }))
        .filter(({ name }) => evacuated.has(name) || cold.has(name))
        .map(({ name, range }) => ({ name, range, load: getLoad(range) }))
        .filter(({ load, name }) => load > 0 || evacuated.has(name))
        .sort((one, other) => other.load - one.load);
    const limit = Math.max(RANGES_PER_PLAN, Math.ceil(moving.length * PART_PER_PLAN));
    const selected = new Set(moving.slice(0, limit).map(({ range }) => range.first));
    return planEvacuation(map, receivers, (_, { first }) => selected.has(first), getLoad);
}
