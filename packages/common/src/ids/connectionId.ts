import type { Brand } from "./brand.js";

/** Identifies one connection of this process to another system, from its opening to its end. */
export type ConnectionId = Brand<"ConnectionId">;
