import type { Brand } from "./brand.js";

/** Hash of a declaration's canonical JSON, in hexadecimal. */
export type Digest = Brand<"Digest">;
