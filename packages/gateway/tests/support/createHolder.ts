import type { ServerId } from "@arbutusdoor/common";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";

/** Creates an incarnation of a server. */
export function createHolder(id: string, startedAt = 1): KeyHolder {
    return { id: id as ServerId, startedAt };
}
