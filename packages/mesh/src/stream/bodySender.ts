import type { Readable } from "node:stream";
import { encodeMessage } from "../protocol/encodeMessage.js";

/** Events that the sender of a body reports to its link. */
type BodySenderEvents = {
    /** A message is available. */
    readonly onReady: () => void;
    /** The last message of the body was taken. */
    readonly onDone: () => void;
};

type BodySenderOptions = {
    readonly stream: number;
    readonly body: Readable;
    /** Initial credit in bytes. */
    readonly windowBytes: number;
    /** Largest chunk. */
    readonly chunkBytes: number;
    readonly events: BodySenderEvents;
};

const EMPTY = new Uint8Array(0);

/** Reads a body as far as its receiver's credit allows and splits it into messages, which the link takes one at a time. */
export class BodySender {
    private readonly options: BodySenderOptions;
    private rest: Uint8Array = EMPTY;
    private creditBytes: number;
    private length = 0;
    private state: "open" | "ended" | "broken" | "done" = "open";
    private readonly onReadable = () => this.options.events.onReady();
    private readonly onBodyEnd = () => this.settle("ended");
    private readonly onBodyFailure = () => this.settle("broken");

    constructor(options: BodySenderOptions) {
        this.options = options;
        this.creditBytes = options.windowBytes;
        const { body } = options;
        body.on("readable", this.onReadable);
        body.once("end", this.onBodyEnd);
        body.on("error", this.onBodyFailure);
        body.once("close", this.onBodyFailure);
        if (body.readableEnded) {
            this.state = "ended";
        }
        else if (body.destroyed) {
            this.state = "broken";
        }
    }

    /** Adds credit granted by the receiver. */
    addCredit(bytes: number): void {
        this.creditBytes += bytes;
        this.options.events.onReady();
    }

    /** Returns the next message, or `undefined` when none is available now. */
    nextMessage(): Uint8Array | undefined {
        const bytes = this.nextChunk();
        const { stream } = this.options;
        if (bytes) {
            const offset = this.length;
            this.length += bytes.length;
            return encodeMessage({ kind: "data", stream, offset, bytes });
        }
        if (this.state === "broken") {
            this.finish();
            return encodeMessage({ kind: "broken", stream });
        }
        if (this.state === "ended" && this.rest.length === 0) {
            this.finish();
            return encodeMessage({ kind: "end", stream, length: this.length });
        }
        return undefined;
    }

    /** Stops reading the body without destroying it. */
    stop(): void {
        this.state = "done";
        this.rest = EMPTY;
        const { body } = this.options;
        body.off("readable", this.onReadable);
        body.off("end", this.onBodyEnd);
        body.off("close", this.onBodyFailure);
    }

    /** Stops reading the body and destroys it. */
    abandon(): void {
        this.stop();
        this.options.body.destroy();
    }

    private nextChunk(): Uint8Array | undefined {
        const canSend = this.creditBytes > 0 && (this.state === "open" || this.state === "ended");
        if (!canSend) {
            return undefined;
        }
        if (this.rest.length === 0) {
            this.rest = this.readBody();
        }
        const length = Math.min(this.rest.length, this.creditBytes, this.options.chunkBytes);
        if (length === 0) {
            return undefined;
        }
        const chunk = this.rest.subarray(0, length);
        this.rest = this.rest.subarray(length);
        this.creditBytes -= length;
        return chunk;
    }

    private readBody(): Uint8Array {
        const chunk: Uint8Array | string | undefined = this.options.body.read() ?? undefined;
        return typeof chunk === "string" ? Buffer.from(chunk) : chunk ?? EMPTY;
    }

    private settle(state: "ended" | "broken"): void {
        if (this.state === "open") {
            this.state = state;
            this.options.events.onReady();
        }
    }

    private finish(): void {
        this.stop();
        this.options.events.onDone();
    }
}
