import type { Greeting } from "./greeting.js";

/** Why a host does not open a link. */
export type GreetingRefusalReason = Extract<Greeting, { kind: "refuse"; }>["reason"];
