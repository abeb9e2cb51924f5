import type { ServerResponse } from "node:http";

/**
 * Ends an answer whose body is truncated. Without a length and without chunked coding, as for a caller of HTTP/1.0, the end of the
 * connection is the end of the body: only a reset tells the caller that the answer is not complete.
 */
export function breakOffAnswer(response: ServerResponse): void {
    const isEndStated = response.chunkedEncoding || response.hasHeader("content-length");
    if (!isEndStated && response.headersSent) {
        // Marks the socket to be reset. The next line closes it before the end of its writing side, which this queues, could be sent.
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}
