import { Readable } from "node:stream";
import { BrokenBodyError } from "./brokenBodyError.js";

/** What the receiver of a body tells its sender. */
type BodyReceiverEvents = {
    /** That many bytes were read; the sender may send as many more. */
    readonly onRead: (bytes: number) => void;
    /** The reader gave up before the end. */
    readonly onUnwanted: () => void;
};

const CREDIT_PARTS = 4;

/**
 * The body of a relayed request or answer as its reader sees it. Holds at most the window that the sender was given;
 * room is given back as the reader reads, so a slow reader holds back only this body.
 */
export class BodyReceiver {
    /** What the reader reads. */
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

    /** @param windowBytes bytes that the sender may send before room is given back */
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
        // A body that nobody reads yet may break off; readers that come later see the error of the stream.
        this.readable.on("error", () => {});
    }

    /** Takes a piece. False when it is empty or out of place, the sender had no room for it or the body had ended. */
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

    /** Notes that the body is whole. False when that is not its length so far. */
    finish(length: number): boolean {
        if (this.isComplete || length !== this.length) {
            return false;
        }
        this.isComplete = true;
        this.pushAvailable();
        return true;
    }

    /** Ends the body with an error for its reader, unless it is whole. */
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
            // A reader may ask for more within the push, so only its answer may set this again.
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
