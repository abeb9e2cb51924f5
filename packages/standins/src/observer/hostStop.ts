/** A SIGTERM to a host, named as callers name it, at a wall-clock time in ms. */
export type HostStop = { readonly entryHost: string; readonly at: number; };
