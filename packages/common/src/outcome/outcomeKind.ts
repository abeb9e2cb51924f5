/**
 * What a caller can rely on:
 * `answered` (the backend server's whole answer follows), `notRun` (no backend server ran the request)
 * or `unknown` (a backend server may have run it).
 */
export type OutcomeKind = "answered" | "notRun" | "unknown";
