import { breakOffAnswer, type RequestId } from "@arbutusdoor/common";
import type { ServerResponse } from "node:http";
import type { Answer } from "../serving/answer.js";
import { getAnswerHeaders } from "./getAnswerHeaders.js";
import { OUTCOME_HEADERS } from "./outcomeHeaders.js";

/** Writes a backend server's answer. If the body is truncated, breaks off the answer, so that the caller notices. */
export function sendAnswer(
    response: ServerResponse,
    requestId: RequestId,
    answer: Extract<Answer, { kind: "answered"; }>,
): void {
    const { body } = answer;
    // A body that has already failed emits no further event, so that piping it would never end the answer.
    if (response.destroyed || body.destroyed) {
        body.destroy();
        response.destroy();
        return;
    }
    response.writeHead(answer.status, {
        ...getAnswerHeaders(answer.headers),
        [OUTCOME_HEADERS.OUTCOME]: "answered",
        [OUTCOME_HEADERS.REQUEST_ID]: requestId,
    });
    body.on("error", () => breakOffAnswer(response));
    response.on("close", () => body.destroy());
    body.pipe(response);
}
