import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline, Readable } from "node:stream";
import type { GatewayReply } from "./gatewayReply.js";

/** Writes a server's answer to a caller. */
export function writeAnswer(
    message: IncomingMessage,
    response: ServerResponse,
    { body, headers, status }: Extract<GatewayReply, { kind: "answer"; }>,
): void {
    for (const [name, value] of Object.entries(headers)) {
        response.setHeader(name, value as string | string[]);
    }
    if (body instanceof Readable) {
        response.writeHead(status);
        // A body that ends early closes the connection, so that the answer does not look complete.
        pipeline(body, response, () => undefined);
        return;
    }
    if (message.method !== "HEAD") {
        response.setHeader("content-length", body.length);
    }
    response.writeHead(status);
    response.end(body);
}
