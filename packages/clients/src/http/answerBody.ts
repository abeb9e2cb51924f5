import { Readable } from "node:stream";
import type { Dispatcher } from "undici";

const HIGH_WATER_MARK_BYTES = 65_536;

/** Body of an answer: takes bytes from the connection only as fast as it is read, and errors unless it arrives whole. */
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

    /** Adds bytes and holds the connection back once enough of them wait. */
    accept(chunk: Buffer): void {
        const hasRoom = this.stream.push(chunk);
        if (!hasRoom) {
            this.controller.pause();
        }
    }

    /** Marks the body as whole. */
    finish(): void {
        this.isWhole = true;
        this.stream.push(null);
    }

    /** Breaks the body off. */
    fail(error: Error): void {
        this.stream.destroy(error);
    }

    private release(): void {
        if (!this.isWhole) {
            this.controller.abort(new Error("the answer body was closed before its end"));
        }
    }
}
