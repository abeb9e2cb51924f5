import type { Brand } from "./brand.js";

/** Identifies one request of a caller: host incarnation and counter. */
export type RequestId = Brand<"RequestId">;
