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
    private readonly pieces: Uint8Array[] = [];
    private openBytes: number;
    private readBytes = 0;
    private length = 0;
    private isWhole = false;
    private isWanted = false;
    private isEndPushed = false;

    /** @param windowBytes bytes that the sender may send before room is given back */
    constructor(windowBytes: number, events: BodyReceiverEvents) {
        this.windowBytes = windowBytes;
        this.openBytes = windowBytes;
        this.events = events;
        this.readable = new Readable({
            highWaterMark: 1,
            read: () => this.noteWanted(),
            destroy: (error, callback) => {
                this.noteDestroyed(error ?? undefined);
                callback(error);
            },
        });
        // A body that nobody reads yet may break off; readers that come later see the error of the stream.
        this.readable.on("error", () => {});
    }

    /** Takes a piece. False when it is empty or out of place, the sender had no room for it or the body had ended. */
    receive(offset: number, bytes: Uint8Array): boolean {
        const hasPlace = !this.isWhole && offset === this.length;
        if (!hasPlace || bytes.length === 0 || bytes.length > this.openBytes) {
            return false;
        }
        this.length += bytes.length;
        this.openBytes -= bytes.length;
        if (this.readable.destroyed) {
            return true;
        }
        this.pieces.push(bytes);
        this.pushWanted();
        return true;
    }

    /** Notes that the body is whole. False when that is not its length so far. */
    finish(length: number): boolean {
        if (this.isWhole || length !== this.length) {
            return false;
        }
        this.isWhole = true;
        this.pushWanted();
        return true;
    }

    /** Ends the body with an error for its reader, unless it is whole. */
    fail(detail: string): void {
        if (!this.isWhole) {
            this.readable.destroy(new BrokenBodyError(detail));
        }
    }

    private noteWanted(): void {
        this.isWanted = true;
        this.pushWanted();
    }

    private noteDestroyed(error: Error | undefined): void {
        this.pieces.length = 0;
        if (!this.isWhole && !(error instanceof BrokenBodyError)) {
            this.events.onUnwanted();
        }
    }

    private pushWanted(): void {
        while (this.isWanted) {
            const piece = this.pieces.shift();
            if (!piece) {
                break;
            }
            // A reader may ask for more within the push, so only its answer may set this again.
            this.isWanted = false;
            this.isWanted = this.readable.push(piece) || this.isWanted;
            this.giveRoom(piece.length);
        }
        if (this.isWhole && this.pieces.length === 0 && !this.isEndPushed) {
            this.isEndPushed = true;
            this.readable.push(null);
        }
    }

    private giveRoom(bytes: number): void {
        this.readBytes += bytes;
        if (this.isWhole || this.readBytes * CREDIT_PARTS < this.windowBytes) {
            return;
        }
        const given = this.readBytes;
        this.readBytes = 0;
        this.openBytes += given;
        this.events.onRead(given);
    }
}
