/** Names the entry of an encoded map that holds the time of unknown grants. It has no position of a range, so earlier versions skip it. */
export const UNKNOWN_ENTRY = "unknown";
