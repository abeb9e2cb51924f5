/** Name of a setting that is read when the process starts, so that a change waits for the next start. */
export type PendingSetting =
    | "host"
    | "ip"
    | "dataCentre"
    | "callerAddress"
    | "readinessAddress"
    | "linkPort"
    | "processorCores"
    | "maxHoldMs";
