import type { Brand } from "./brand.js";

/** Name of a backend server, as its declaration gives it. */
export type ServerId = Brand<"ServerId">;
