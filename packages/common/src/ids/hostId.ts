import type { Brand } from "./brand.js";

/** Name of an entry host, unique in the whole system, given by its settings. */
export type HostId = Brand<"HostId">;
