import { Readable } from "node:stream";
import type { Dispatcher } from "undici";

const HIGH_WATER_MARK_BYTES = 65_536;

/**
 * Body of an answer. Applies backpressure to the connection, and emits an error if the body is truncated. Chunks that arrive together are
 * passed on as one: a server may send very small ones, each of which would be written to the caller on its own.
 */
export class AnswerBody {
    readonly stream: Readable;
    private readonly controller: Dispatcher.DispatchController;
    private arrived: Buffer[] = [];
    private arrivedBytes = 0;
    private isWhole = false;

    constructor(controller: Dispatcher.DispatchController) {
        this.controller = controller;
        this.stream = new Readable({
            highWaterMark: HIGH_WATER_MARK_BYTES,
            read: () => controller.resume(),
            destroy: (error, callback) => {
                this.release();
                callback(error);
            },
        });
        this.stream.on("error", () => undefined);
    }

    /** Adds bytes and pauses the connection once the buffer is full. */
    accept(chunk: Buffer): void {
        this.arrivedBytes += chunk.length;
        const isFirst = this.arrived.push(chunk) === 1;
        if (this.arrivedBytes >= HIGH_WATER_MARK_BYTES) {
            this.pass();
        }
        else if (isFirst) {
            queueMicrotask(() => this.pass());
        }
    }

    /** Marks the body as complete. */
    finish(): void {
        this.pass();
        this.isWhole = true;
        this.stream.push(null);
    }

    /** Ends the body with an error. */
    fail(error: Error): void {
        this.pass();
        this.stream.destroy(error);
    }

    /** Passes on the chunks that have arrived. */
    private pass(): void {
        const chunks = this.arrived;
        if (chunks.length === 0) {
            return;
        }
        this.arrived = [];
        this.arrivedBytes = 0;
        const hasRoom = this.stream.push(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
        if (!hasRoom) {
            this.controller.pause();
        }
    }

    private release(): void {
        if (!this.isWhole) {
            this.controller.abort(new Error("the answer body was closed before its end"));
        }
    }
}
