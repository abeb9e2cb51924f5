import { Readable } from "node:stream";
import { BrokenBodyError } from "./brokenBodyError.js";

/** Events that the receiver of a body reports to its sender. */
type BodyReceiverEvents = {
    /** That many bytes were read; the sender may send the same number again. */
    readonly onRead: (bytes: number) => void;
    /** The reader closed the stream before its end. */
    readonly onUnwanted: () => void;
};

const CREDIT_PARTS = 4;

/**
 * Receives the body of a relayed request or answer. Buffers at most the window that was granted to the sender; credit is
 * returned as the reader reads, so a slow reader holds back only this body.
 */
export class BodyReceiver {
    /** The received body. */
    readonly readable: Readable;
    private readonly windowBytes: number;
    private readonly events: BodyReceiverEvents;
    private readonly chunks: Uint8Array[] = [];
    private creditBytes: number;
    private readBytes = 0;
    private length = 0;
    private isComplete = false;
    private isReading = false;
    private isEndPushed = false;

    /** @param windowBytes bytes that the sender may send before it gets more credit */
    constructor(windowBytes: number, events: BodyReceiverEvents) {
        this.windowBytes = windowBytes;
        this.creditBytes = windowBytes;
        this.events = events;
        this.readable = new Readable({
            highWaterMark: 1,
            read: () => this.handleRead(),
            destroy: (error, callback) => {
                this.handleDestroyed(error ?? undefined);
                callback(error);
            },
        });
        // A body may fail before it has a reader; a later reader still gets the stream's error.
        this.readable.on("error", () => {});
    }

    /** Adds a chunk. Returns false when it is empty, out of order, exceeds the sender's credit or follows the end of the body. */
    receive(offset: number, bytes: Uint8Array): boolean {
        const isInOrder = !this.isComplete && offset === this.length;
        if (!isInOrder || bytes.length === 0 || bytes.length > this.creditBytes) {
            return false;
        }
        this.length += bytes.length;
        this.creditBytes -= bytes.length;
        if (this.readable.destroyed) {
            return true;
        }
        this.chunks.push(bytes);
        this.pushAvailable();
        return true;
    }

    /** Marks the body as complete. Returns false when the length does not match the bytes received. */
    finish(length: number): boolean {
        if (this.isComplete || length !== this.length) {
            return false;
        }
        this.isComplete = true;
        this.pushAvailable();
        return true;
    }

    /** Ends the body with an error for its reader, unless it is complete. */
    fail(detail: string): void {
        if (!this.isComplete) {
            this.readable.destroy(new BrokenBodyError(detail));
        }
    }

    private handleRead(): void {
        this.isReading = true;
        this.pushAvailable();
    }

    private handleDestroyed(error: Error | undefined): void {
        this.chunks.length = 0;
        if (!this.isComplete && !(error instanceof BrokenBodyError)) {
            this.events.onUnwanted();
        }
    }

    private pushAvailable(): void {
        while (this.isReading) {
            const chunk = this.chunks.shift();
            if (!chunk) {
                break;
            }
            // The reader may request more data during the push: the flag is cleared before it, and such a request is kept.
            this.isReading = false;
            this.isReading = this.readable.push(chunk) || this.isReading;
            this.returnCredit(chunk.length);
        }
        if (this.isComplete && this.chunks.length === 0 && !this.isEndPushed) {
            this.isEndPushed = true;
            this.readable.push(null);
        }
    }

    private returnCredit(bytes: number): void {
        this.readBytes += bytes;
        if (this.isComplete || this.readBytes * CREDIT_PARTS < this.windowBytes) {
            return;
        }
        const credit = this.readBytes;
        this.readBytes = 0;
        this.creditBytes += credit;
        this.events.onRead(credit);
    }
}
