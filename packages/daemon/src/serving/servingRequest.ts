import type { SliceGeneration } from "@arbutusdoor/clients";
import type { Milliseconds, RequestId, ServerId } from "@arbutusdoor/common";
import type { RequestClass } from "@arbutusdoor/configuration";
import type { Readable } from "node:stream";

/** A request at the entry host that sends it to a backend server. */
export type ServingRequest = {
    readonly id: RequestId;
    readonly tenant: string;
    readonly service: string;
    readonly requestClass: RequestClass;
    readonly server: ServerId;
    /** IP address and port of the server. */
    readonly address: string;
    readonly slice: SliceGeneration | undefined;
    /** Present for a keyed service. */
    readonly key: string | undefined;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Readable | undefined;
    /** Time of this host's clock by which the head of the answer must have arrived. */
    readonly deadlineAt: Milliseconds;
    readonly signal: AbortSignal;
};
