import { type Clock, createRefusal, type Milliseconds, type Refusal } from "@arbutusdoor/common";
import type { IncomingMessage } from "node:http";
import { Deferred } from "../serving/deferred.js";
import { createLimitedBody } from "./createLimitedBody.js";
import { RequestBody } from "./requestBody.js";

/** Largest sizes of a body in bytes. */
type BodyLimits = {
    /** A longer body is refused. */
    readonly bodyLimitBytes: number;
    /** A body up to this size is read whole before it is forwarded. */
    readonly bufferedBodyBytes: number;
};

/** A body that can be forwarded, or the refusal of one that cannot. */
type BodyReading =
    | { readonly kind: "body"; readonly body: RequestBody; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };

/**
 * Reads a small body whole and opens a long one as a stream. When it refuses, nothing has been forwarded.
 * @param deadline longest wait for a small body to arrive
 */
export async function readRequestBody(
    message: IncomingMessage,
    limits: BodyLimits,
    clock: Clock,
    deadline: Milliseconds,
): Promise<BodyReading> {
    const declared = message.headers["content-length"];
    const isChunked = message.headers["transfer-encoding"] !== undefined;
    if (declared === undefined && !isChunked) {
        return { kind: "body", body: RequestBody.none() };
    }
    const length = Number(declared);
    if (length > limits.bodyLimitBytes) {
        const detail = `the body has ${length} bytes; the limit of its class is ${limits.bodyLimitBytes}`;
        return { kind: "refusal", refusal: createRefusal("bodyTooLarge", detail) };
    }
    if (isChunked || length > limits.bufferedBodyBytes) {
        return {
            kind: "body",
            body: RequestBody.arriving(createLimitedBody(message, limits.bodyLimitBytes)),
        };
    }
    const timedOut = new Deferred<BodyReading>();
    const timer = clock.schedule(deadline, () => timedOut.resolve(refuseTimedOut()));
    const reading = await Promise.race([readWhole(message, length), timedOut.promise]);
    timer.cancel();
    return reading;
}

async function readWhole(message: IncomingMessage, length: number): Promise<BodyReading> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of message) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        return refuseBroken();
    }
    const bytes = Buffer.concat(chunks);
    return bytes.length === length ? { kind: "body", body: RequestBody.whole(bytes) } : refuseBroken();
}

function refuseTimedOut(): BodyReading {
    const refusal = createRefusal("deadlineBeforeStart", "the body did not arrive before the deadline");
    return { kind: "refusal", refusal };
}

function refuseBroken(): BodyReading {
    const refusal = createRefusal("malformedRequest", "the body ended before its declared length");
    return { kind: "refusal", refusal };
}
