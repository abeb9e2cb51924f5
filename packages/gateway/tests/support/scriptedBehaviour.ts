/** What a server does with its next request. */
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
