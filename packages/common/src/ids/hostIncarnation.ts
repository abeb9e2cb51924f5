import type { Brand } from "./brand.js";

/** Identifies one run of the daemon on an entry host; it changes with each restart. */
export type HostIncarnation = Brand<"HostIncarnation">;
