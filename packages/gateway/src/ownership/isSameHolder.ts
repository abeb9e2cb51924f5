import type { KeyHolder } from "./keyHolder.js";

/** Whether both are the same incarnation of the same server. */
export function isSameHolder(one: KeyHolder | undefined, other: KeyHolder | undefined): boolean {
    return one !== undefined && one.id === other?.id && one.startedAt === other.startedAt;
}
