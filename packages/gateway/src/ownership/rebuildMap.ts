import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyMap } from "./keyMap.js";

/**
 * Returns a map that a restored store has, under a new token for every key. It lists no earlier owners, since any server may be one.
 *
 * @param unknownUntil store time until which unknown coordinators may renew grants; `undefined` once no server can hold a key any more
 */
export function rebuildMap(
    { ranges }: KeyMap,
    term: number,
    fence: number,
    unknownUntil?: Milliseconds,
): KeyMap {
    return {
        term,
        fence,
        ranges: ranges.map(({ first, last, owner }) => ({ first, last, owner, fence, previous: [] })),
        ...(unknownUntil !== undefined && { unknownUntil }),
    };
}
