import { ArbutusdoorError } from "@arbutusdoor/common";
import type { Socket } from "node:net";
import type { AnswerProgress } from "./answerProgress.js";

/** The parser accepts heads and trailers with 16 KiB of names and values; the rest allows for the bytes between them. */
const STRAY_LIMIT_BYTES = 65_536;

/**
 * Limits the bytes that a connection reads without making progress in an answer. The parser skips some bytes without limit:
 * blank lines, spaces, reason phrases, interim answers and chunk extensions.
 */
export class StrayBytes {
    private progress: AnswerProgress | undefined;
    private parts = 0;
    private baseline = 0;

    /** Starts to count for a new request. */
    follow(progress: AnswerProgress | undefined): void {
        this.progress = progress;
        this.parts = -1;
    }

    /** Destroys a connection that has read too many such bytes. Must be called after the parser has added its listeners. */
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
