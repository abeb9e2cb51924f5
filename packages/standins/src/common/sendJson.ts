import type { ServerResponse } from "node:http";

/** Answers with JSON. */
export function sendJson(
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(status, {
        ...headers,
        "content-type": "application/json",
        "content-length": body.length,
    });
    response.end(body);
}
