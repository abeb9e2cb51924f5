/** Refused callers are told to wait at least this long. One that comes back earlier has not waited. */
export const EARLIEST_RETURN_MS = 150;
