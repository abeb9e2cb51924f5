import type { RequestId } from "@arbutusdoor/common";
import type { ServerResponse } from "node:http";
import type { Answer } from "../serving/answer.js";
import { getAnswerHeaders } from "./getAnswerHeaders.js";
import { OUTCOME_HEADERS } from "./outcomeHeaders.js";

/** Writes a backend server's answer. If the body is truncated, destroys the connection, so that the caller notices. */
export function sendAnswer(
    response: ServerResponse,
    requestId: RequestId,
    answer: Extract<Answer, { kind: "answered"; }>,
): void {
    const { body } = answer;
    if (response.destroyed) {
        body.destroy();
        return;
    }
    response.writeHead(answer.status, {
        ...getAnswerHeaders(answer.headers),
        [OUTCOME_HEADERS.OUTCOME]: "answered",
        [OUTCOME_HEADERS.REQUEST_ID]: requestId,
    });
    body.on("error", () => response.destroy());
    response.on("close", () => body.destroy());
    body.pipe(response);
}
