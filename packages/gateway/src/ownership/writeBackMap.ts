import type { KeyMap } from "./keyMap.js";

/**
 * Returns the newest map, to be written to a restored store that has an older one. Grants stand under their tokens. Until when earlier owners
 * got grants is left out, since the restored store's clock may be another one.
 */
export function writeBackMap({ ranges }: KeyMap, term: number, fence: number): KeyMap {
    return {
        term,
        fence,
        ranges: ranges.map(({ first, last, owner, fence: token, previous }) => ({
            first,
            last,
            owner,
            fence: token,
            previous,
        })),
    };
}
