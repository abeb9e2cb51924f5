/** Tables that the coordinator sends as rows; key maps are sent as differences. */
export type TableName = "configuration" | "servers";
