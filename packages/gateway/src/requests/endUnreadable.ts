import type { CallerConnection, Logger, Metrics } from "@arbutusdoor/common";
import type { Socket } from "node:net";

/** Replies to a caller whose bytes are no request, by the code of the error. */
const STATUS_LINES: ReadonlyMap<string, string> = new Map([
    ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
    ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
]);
const BAD_REQUEST = "400 Bad Request";
const PARSER_ERROR = "HPE_";
/** The caller has ended its side of the connection within a request. */
const ENDED_EARLY = "HPE_INVALID_EOF_STATE";

/** Dependencies. */
type Observers = { readonly logger: Logger; readonly metrics: Metrics; };

/**
 * Ends the reading of a connection whose bytes are no request, or whose head was not finished in time. A reply to these bytes would be
 * taken for that to the oldest request of the connection, which may be at work; so they get one only where no request is open. Requests
 * that were read to their end keep their replies, the last of which closes the connection.
 */
export function endUnreadable(
    error: NodeJS.ErrnoException,
    socket: Socket,
    connection: CallerConnection,
    { logger, metrics }: Observers,
): void {
    const reason = error.code ?? error.message;
    const isUnreadable = reason.startsWith(PARSER_ERROR) || STATUS_LINES.has(reason);
    if (!isUnreadable || reason === ENDED_EARLY || !socket.writable) {
        socket.destroy();
        return;
    }
    if (connection.hasEndedReading) {
        return;
    }
    connection.endReading();
    const { isWhole, size } = connection;
    const result = size === 0 ? "refused" : isWhole ? "kept" : "closed";
    metrics.count("arbutusdoor_unreadable_connections_total", { reason, result });
    logger.log("callerUnreadable", { reason, result, openRequests: size });
    if (result === "refused") {
        const body = JSON.stringify({ title: "unreadable", detail: reason, outcome: "not-run" });
        socket.write([
            `HTTP/1.1 ${STATUS_LINES.get(reason) ?? BAD_REQUEST}`,
            "connection: close",
            "content-type: application/problem+json",
            `content-length: ${Buffer.byteLength(body)}`,
            "",
            body,
        ].join("\r\n"));
        socket.destroySoon();
    }
    else if (result === "closed") {
        socket.destroy();
    }
}
