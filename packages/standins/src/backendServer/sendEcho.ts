import type { ServerResponse } from "node:http";
import { pipeline } from "node:stream";
import { sendJson } from "../common/sendJson.js";
import type { BackendSettings } from "./backendSettings.js";
import { newAnswerBytes } from "./newAnswerBytes.js";
import type { ServiceRequest } from "./serviceRequest.js";

/** What came in as a request's body. */
type ReceivedBody = { readonly bytes: number; readonly sha256: string; };

/** Answers a request with what came in, or with as many bytes as it asks for. Resolves once all is written or the caller has left. */
export async function sendEcho(
    response: ServerResponse,
    settings: Pick<BackendSettings, "server" | "incarnation" | "maxAnswerBytes">,
    service: ServiceRequest,
    received: ReceivedBody,
): Promise<void> {
    const { server, incarnation, maxAnswerBytes } = settings;
    const { requestId, idempotencyKey, method, path, answerBytes } = service;
    const identity = { "echo-server": server, "echo-request-id": requestId, "echo-path": path };
    if (answerBytes === undefined) {
        const echo = { server, incarnation, requestId, idempotencyKey, method, path };
        const body = { bodyBytes: received.bytes, bodySha256: received.sha256 };
        sendJson(response, 200, { ...echo, ...body }, identity);
        return;
    }
    const length = Math.min(answerBytes, maxAnswerBytes);
    const long = newAnswerBytes(requestId, length);
    response.writeHead(200, { ...identity, "content-length": length, "echo-sha256": long.sha256 });
    await new Promise<void>(resolve => pipeline(long.body, response, () => resolve()));
}
