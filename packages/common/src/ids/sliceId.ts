import type { Brand } from "./brand.js";

/** Name of a slice of a keyed service's keys: a hash range or a single hot key. */
export type SliceId = Brand<"SliceId">;
