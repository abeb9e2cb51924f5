/** Names of the headers that tell a caller the outcome of a request. */
export const OUTCOME_HEADERS = {
    OUTCOME: "arbutusdoor-outcome",
    REASON: "arbutusdoor-reason",
    REQUEST_ID: "arbutusdoor-request-id",
    OWNER: "arbutusdoor-server",
} as const;
