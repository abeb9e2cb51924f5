import type { Brand } from "./brand.js";

/** Name of a request class of a service. */
export type ClassId = Brand<"ClassId">;
