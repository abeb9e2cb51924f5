/** Settings that are read only from the environment, so that they never appear in a process list. */
export const SECRET_SETTINGS: ReadonlySet<string> = new Set(["operatorToken", "peerToken"]);
