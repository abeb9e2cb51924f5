import type { Brand } from "./brand.js";

/** Name of a backend server, as given in its declaration. */
export type ServerId = Brand<"ServerId">;
