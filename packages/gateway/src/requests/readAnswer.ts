import type { BackendOutcome } from "../backends/backendOutcome.js";
import type { ForwardableAnswer } from "./forwardableAnswer.js";
import type { UnusableAnswer } from "./unusableAnswer.js";

/** Longer answers are forwarded as they arrive. */
const BUFFERED_BYTES = 65_536;
const FIRST_REDIRECT_STATUS = 300;
/** Statuses that tell a caller that its request did not run; backend servers report this in another way. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Reads a short answer completely, so that a truncated one is recognised before anything is forwarded. */
export async function readAnswer(
    outcome: Extract<BackendOutcome, { kind: "answered"; }>,
    method: string,
): Promise<ForwardableAnswer | UnusableAnswer> {
    const { body, headers, isSigned, status } = outcome;
    if (!isSigned && (status < FIRST_REDIRECT_STATUS || NOT_RUN_STATUSES.has(status))) {
        body.destroy();
        return {
            kind: "broken",
            reason: `an answer with status ${status} without proof that it is the server's`,
        };
    }
    if (NOT_RUN_STATUSES.has(status)) {
        body.destroy();
        return { kind: "broken", reason: `status ${status} from a server that may have run the request` };
    }
    const declared = method === "HEAD" ? 0 : Number(headers["content-length"] ?? 0);
    if (declared > BUFFERED_BYTES) {
        return { kind: "stream", status, headers, body };
    }
    const chunks: Buffer[] = [];
    let length = 0;
    try {
        for await (const chunk of body.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            chunks.push(chunk);
            length += chunk.length;
            if (length > BUFFERED_BYTES) {
                body.unshift(Buffer.concat(chunks));
                return { kind: "stream", status, headers, body };
            }
        }
    }
    catch (error) {
        return { kind: "broken", reason: error instanceof Error ? error.message : "the answer ended early" };
    }
    return { kind: "whole", status, headers, body: Buffer.concat(chunks) };
}
