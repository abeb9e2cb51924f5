import type { Brand } from "./brand.js";

/** Identifies one run of a backend server, as reported by the server. */
export type ServerIncarnation = Brand<"ServerIncarnation">;
