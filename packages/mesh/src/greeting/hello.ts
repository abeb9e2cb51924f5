import type { Greeting } from "./greeting.js";

/** What a host says of itself at the beginning of a link. */
export type Hello = Omit<Extract<Greeting, { kind: "hello"; }>, "kind">;
