import { ArbutusdoorError } from "@arbutusdoor/common";
import type { Socket } from "node:net";
import type { AnswerProgress } from "./answerProgress.js";

/** The parser takes heads and trailers of 16 KiB of names and values; the rest is room for what stands between them. */
const STRAY_LIMIT_BYTES = 65_536;

/**
 * Bytes that a connection has taken in since the last ones that became part of an answer. The parser skips some without limit:
 * blank lines, spaces, reason phrases, interim answers, extensions of chunks.
 */
export class StrayBytes {
    private progress: AnswerProgress | undefined;
    private parts = 0;
    private baseline = 0;

    /** Counts for a request that is sent from now on. */
    follow(progress: AnswerProgress | undefined): void {
        this.progress = progress;
        this.parts = -1;
    }

    /** Ends a connection that has taken in too many. Its parser must listen already. */
    limit(socket: Socket): void {
        this.baseline = 0;
        socket.on("readable", () => this.check(socket));
    }

    private check(socket: Socket): void {
        const consumed = socket.bytesRead - socket.readableLength;
        const parts = this.progress?.parts ?? 0;
        if (parts !== this.parts) {
            this.parts = parts;
            this.baseline = consumed;
        }
        else if (consumed - this.baseline > STRAY_LIMIT_BYTES) {
            socket.destroy(
                new ArbutusdoorError(`more than ${STRAY_LIMIT_BYTES} bytes that are no part of an answer`),
            );
        }
    }
}
