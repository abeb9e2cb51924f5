import type { RowKey } from "@arbutusdoor/common";

/** Rows of the table service that hold the configuration. */
export const CONFIGURATION_KEYS = {
    /** Version and digest in force. */
    head: "configuration/head" as RowKey,
    /** Operations that created the last versions. */
    history: "configuration/history" as RowKey,
} as const;
