/** How a server treats its next request. */
export type ScriptedBehaviour =
    | "ok"
    | "error"
    | "shed"
    | "misdirected"
    | "unreachable"
    | "lost"
    | "broken"
    | "unsigned"
    | "silent";
