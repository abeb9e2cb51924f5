/** A request with less time left than this many ms is not sent. */
export const minTimeLeftMs = 5;
