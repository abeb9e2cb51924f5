import type { Readable } from "node:stream";
import type { GatewayBody } from "./gatewayBody.js";

/** Returns the body that is sent to a server; `undefined` for none. */
export function getSentBody(body: GatewayBody): Uint8Array | Readable | undefined {
    if (body.kind === "none") {
        return undefined;
    }
    return body.kind === "whole" ? body.bytes : body.stream;
}
