/** Tables that the coordinator passes on as rows; maps of keys go as differences. */
export type TableName = "configuration" | "servers";
