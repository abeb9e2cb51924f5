import type { Brand } from "./brand.js";

/** One run of the daemon on an entry host; a restarted daemon has another one. */
export type HostIncarnation = Brand<"HostIncarnation">;
