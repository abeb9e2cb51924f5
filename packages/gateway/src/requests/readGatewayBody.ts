import type { IncomingMessage } from "node:http";
import type { GatewayBody } from "./gatewayBody.js";

/** Bodies up to this size are read whole before anything is sent on, so that they can be sent again. */
const BUFFERED_BYTES = 524_288;

/** A body that can be sent on, or why there is none. */
type BodyReading =
    | { readonly kind: "body"; readonly body: GatewayBody; }
    | { readonly kind: "tooLarge"; }
    | { readonly kind: "broken"; };

/** Reads a body: short ones whole, long ones as a stream that the sender reads. */
export async function readGatewayBody(message: IncomingMessage, limitBytes: number): Promise<BodyReading> {
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
