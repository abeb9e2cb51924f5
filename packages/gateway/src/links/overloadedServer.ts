/** A server that sheds requests: its id, the expected wait in ms and the pressure of its admission levels in percent. */
export type OverloadedServer = readonly [server: string, waitMs: number, pressurePercent: number];
