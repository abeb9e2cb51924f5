import type { KeyHolder } from "./keyHolder.js";

/** A text that is the same for the same life of a server only. */
export function getHolderName(holder: KeyHolder): string {
    return `${holder.id}@${holder.startedAt}`;
}
