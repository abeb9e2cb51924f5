/**
 * What is known about an incarnation of a server: `live`; `leaving` (it announced its shutdown, or its registry entry is gone; it may still
 * hold keys); `replaced` (a newer incarnation has registered, which may have received orders for this one, since orders name only the
 * server); `dead` (nothing answers for the server any more).
 */
export type HolderState = "live" | "leaving" | "replaced" | "dead";
