/** How a server treats its next request. */
export type ScriptedBehaviour =
    | "ok"
    | "error"
    | "shed"
    /** Refuses and wants no requests for a second. */
    | "quiet"
    /** Answers and says that it is leaving. */
    | "leaving"
    | "misdirected"
    /** Is not sent when it gets its connection. */
    | "withheld"
    | "unreachable"
    | "lost"
    | "broken"
    | "unsigned"
    | "silent"
    /** Cannot be asked because of an internal error. */
    | "throws"
    /** Answers with a header field that no reply can have. */
    | "unwritable";
