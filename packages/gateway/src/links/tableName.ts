/** Tables that the coordinator passes on. */
export type TableName = "configuration" | "servers" | "keys";
