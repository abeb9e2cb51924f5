import type { CoordinatorMessage } from "../links/coordinatorMessage.js";
import type { KeyMap } from "../ownership/keyMap.js";

type KeysMessage = Extract<CoordinatorMessage, { kind: "keys"; }>;

/** Creates the message about a committed map: with the whole map, or with the changes since a version. */
export function createKeysMessage(
    service: string,
    version: number,
    { fence, term }: KeyMap,
    { after, map, ranges = [] }: Partial<Pick<KeysMessage, "after" | "map" | "ranges">>,
): KeysMessage {
    return { kind: "keys", service, after, version, term, fence, map, ranges };
}
