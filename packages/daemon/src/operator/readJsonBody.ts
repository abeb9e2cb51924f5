import type { IncomingMessage } from "node:http";
import type { BodyReading } from "./bodyReading.js";

/** Reads a body of at most `limitBytes` and parses it. */
export async function readJsonBody(request: IncomingMessage, limitBytes: number): Promise<BodyReading> {
    if (Number(request.headers["content-length"] ?? 0) > limitBytes) {
        return { kind: "tooLarge" };
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            length += chunk.length;
            if (length > limitBytes) {
                return { kind: "tooLarge" };
            }
            chunks.push(chunk);
        }
    }
    catch {
        return { kind: "broken" };
    }
    return parse(Buffer.concat(chunks).toString("utf8"));
}

function parse(text: string): BodyReading {
    if (text === "") {
        return { kind: "json", json: undefined };
    }
    try {
        return { kind: "json", json: JSON.parse(text) };
    }
    catch {
        return { kind: "malformed" };
    }
}
