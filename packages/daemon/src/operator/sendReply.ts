import type { ServerResponse } from "node:http";
import type { OperatorReply } from "./operatorReply.js";

const SUCCESS_STATUS = 200;

/** Sends a reply as JSON, or as application/problem+json (RFC 9457) when it is a problem. */
export function sendReply(response: ServerResponse, reply: OperatorReply): void {
    if (reply.kind === "answer") {
        send(response, SUCCESS_STATUS, "application/json", reply.body);
        return;
    }
    const { status, title, detail, members } = reply;
    send(response, status, "application/problem+json", { title, status, detail, ...members });
}

function send(response: ServerResponse, status: number, contentType: string, body: object): void {
    const bytes = Buffer.from(JSON.stringify(body));
    response.writeHead(status, {
        "content-type": contentType,
        "content-length": bytes.length,
        "cache-control": "no-store",
    });
    response.end(bytes);
}
