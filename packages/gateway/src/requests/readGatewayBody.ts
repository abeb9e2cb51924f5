import type { IncomingMessage } from "node:http";
import type { GatewayBody } from "./gatewayBody.js";

/** Bodies up to this size are completely read before they are forwarded, so that they can be sent again. */
const BUFFERED_BYTES = 524_288;

/** A body that can be forwarded, or why there is none. */
type BodyResult =
    | { readonly kind: "body"; readonly body: GatewayBody; }
    | { readonly kind: "tooLarge"; }
    | { readonly kind: "broken"; };

/** Reads a short body completely; returns a long one as a stream, which is read while it is sent. */
export async function readGatewayBody(message: IncomingMessage, limitBytes: number): Promise<BodyResult> {
    const declared = message.headers["content-length"];
    const isChunked = message.headers["transfer-encoding"] !== undefined;
    if (!isChunked && (declared === undefined || declared === "0")) {
        return { kind: "body", body: { kind: "none" } };
    }
    if (Number(declared ?? 0) > limitBytes) {
        return { kind: "tooLarge" };
    }
    if (Number(declared ?? 0) > BUFFERED_BYTES) {
        return { kind: "body", body: { kind: "arriving", stream: message } };
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of message.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            length += chunk.length;
            if (length > limitBytes) {
                return { kind: "tooLarge" };
            }
            if (length > BUFFERED_BYTES) {
                message.unshift(Buffer.concat(chunks));
                return { kind: "body", body: { kind: "arriving", stream: message } };
            }
        }
    }
    catch {
        return { kind: "broken" };
    }
    return { kind: "body", body: { kind: "whole", bytes: Buffer.concat(chunks) } };
}
