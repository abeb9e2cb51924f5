/** Settings that are read from the environment alone, so that they never show in a process list. */
export const SECRET_SETTINGS: ReadonlySet<string> = new Set(["operatorToken", "peerToken"]);
