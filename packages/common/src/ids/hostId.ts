import type { Brand } from "./brand.js";

/** Name of an entry host, unique in the whole system; set in its settings. */
export type HostId = Brand<"HostId">;
