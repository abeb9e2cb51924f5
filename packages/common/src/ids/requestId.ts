import type { Brand } from "./brand.js";

/** Identifies one request of a caller: host incarnation plus a counter. */
export type RequestId = Brand<"RequestId">;
