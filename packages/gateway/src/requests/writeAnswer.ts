import { breakOffAnswer } from "@arbutusdoor/common";
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
        // A body that ends early breaks off the answer, so that it does not look complete. These listeners run before the pipeline's,
        // which only closes the connection.
        body.once("error", () => breakOffAnswer(response));
        body.once("close", () => {
            if (!body.readableEnded) {
                breakOffAnswer(response);
            }
        });
        pipeline(body, response, () => undefined);
        return;
    }
    if (message.method !== "HEAD") {
        response.setHeader("content-length", body.length);
    }
    response.writeHead(status);
    response.end(body);
}
