import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";

/** Creates the map of an initial assignment: a range of one key for each owner that is given. */
export function createStripedMap(owners: readonly KeyHolder[], term: number): KeyMap {
    const ranges = owners.map((owner, key) => ({ first: key, last: key, owner, fence: 1, previous: [] }));
    return { term, fence: 1, ranges };
}
