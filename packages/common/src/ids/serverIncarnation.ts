import type { Brand } from "./brand.js";

/** One run of a backend server, as the server itself reports it. */
export type ServerIncarnation = Brand<"ServerIncarnation">;
