import type { KeyHolder } from "./keyHolder.js";

/** Returns a text that is unique to one incarnation of a server. */
export function getHolderName(holder: KeyHolder): string {
    return `${holder.id}@${holder.startedAt}`;
}
