import { Readable } from "node:stream";
import type { Dispatcher } from "undici";

const HIGH_WATER_MARK_BYTES = 65_536;

/** Body of an answer. Applies backpressure to the connection, and emits an error if the body is truncated. */
export class AnswerBody {
    readonly stream: Readable;
    private readonly controller: Dispatcher.DispatchController;
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
        const hasRoom = this.stream.push(chunk);
        if (!hasRoom) {
            this.controller.pause();
        }
    }

    /** Marks the body as complete. */
    finish(): void {
        this.isWhole = true;
        this.stream.push(null);
    }

    /** Ends the body with an error. */
    fail(error: Error): void {
        this.stream.destroy(error);
    }

    private release(): void {
        if (!this.isWhole) {
            this.controller.abort(new Error("the answer body was closed before its end"));
        }
    }
}
