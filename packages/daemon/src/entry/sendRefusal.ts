import { type Refusal, REFUSAL_REASONS, type RequestId } from "@arbutusdoor/common";
import type { ServerResponse } from "node:http";
import { OUTCOME_HEADERS } from "./outcomeHeaders.js";

const RETRY_AFTER_SECONDS = 1;

/** Writes a refusal as a problem+json answer with its outcome headers; destroys the connection if an answer has begun. */
export function sendRefusal(response: ServerResponse, requestId: RequestId, refusal: Refusal): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const { status, retry } = REFUSAL_REASONS[refusal.reason];
    const outcome = refusal.outcome === "notRun" ? "not-run" : refusal.outcome;
    const problem = {
        type: `urn:arbutusdoor:reason:${refusal.reason}`,
        title: refusal.reason,
        status,
        detail: refusal.detail,
        outcome,
        requestId,
    };
    response.writeHead(status, {
        "content-type": "application/problem+json",
        [OUTCOME_HEADERS.OUTCOME]: outcome,
        [OUTCOME_HEADERS.REASON]: refusal.reason,
        [OUTCOME_HEADERS.REQUEST_ID]: requestId,
        ...(retry ? { "retry-after": String(RETRY_AFTER_SECONDS) } : {}),
    });
    response.end(JSON.stringify(problem));
}
