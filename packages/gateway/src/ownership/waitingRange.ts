import type { KeyHolder } from "./keyHolder.js";
import type { OwnedRange } from "./ownedRange.js";

/** A range that cannot be granted yet, and the earlier owners that may still hold keys of it. */
export type WaitingRange = { readonly range: OwnedRange; readonly holders: readonly KeyHolder[]; };
