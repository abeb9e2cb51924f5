import type { IncomingMessage } from "node:http";

/** A request as the router hands it over. */
export type StandInRequest = IncomingMessage & {
    readonly path: string;
    readonly params: Readonly<Record<string, unknown>>;
    readonly query: Readonly<Record<string, unknown>>;
};
