import type { Socket } from "node:net";
import { OUTCOME_HEADERS } from "./outcomeHeaders.js";

const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";

/** Answers bytes that are not an HTTP request, on a connection without open requests, and closes it. */
export function refuseMalformed(socket: Socket, error: NodeJS.ErrnoException): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const isOverflow = error.code === HEADER_OVERFLOW;
    const status = isOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request";
    const detail = isOverflow
        ? "the header section is longer than the limit"
        : "the bytes are not an HTTP request";
    const problem = JSON.stringify({
        type: "urn:arbutusdoor:reason:malformedRequest",
        title: "malformedRequest",
        status: Number.parseInt(status, 10),
        detail,
        outcome: "not-run",
    });
    socket.write([
        `HTTP/1.1 ${status}`,
        "connection: close",
        "content-type: application/problem+json",
        `content-length: ${Buffer.byteLength(problem)}`,
        `${OUTCOME_HEADERS.OUTCOME}: not-run`,
        `${OUTCOME_HEADERS.REASON}: malformedRequest`,
        "",
        problem,
    ].join("\r\n"));
    socket.destroySoon();
}
