import { Readable } from "node:stream";

/**
 * A caller's body. A small one is held in memory and can be sent repeatedly; a long one is a stream that can be opened
 * only while nothing has been read from it.
 */
export class RequestBody {
    private readonly bytes: Buffer | undefined;
    private readonly stream: Readable | undefined;

    private constructor(bytes: Buffer | undefined, stream: Readable | undefined) {
        this.bytes = bytes;
        this.stream = stream;
    }

    /** Creates an absent body. */
    static none(): RequestBody {
        return new RequestBody(undefined, undefined);
    }

    /** Creates a body that was read whole. */
    static whole(bytes: Buffer): RequestBody {
        return new RequestBody(bytes, undefined);
    }

    /** Creates a body that is still arriving. */
    static arriving(stream: Readable): RequestBody {
        return new RequestBody(undefined, stream);
    }

    /** Whether there is a body. */
    get isPresent(): boolean {
        return this.bytes !== undefined || this.stream !== undefined;
    }

    /** Whether the body can be sent any number of times. */
    get isRepeatable(): boolean {
        return this.stream === undefined;
    }

    /** The bytes of a body that was read whole; used to distinguish a repeated request from a different one. */
    get wholeBytes(): Buffer | undefined {
        return this.bytes;
    }

    /** Whether the body can be sent from its first byte, for the first time or again. */
    canOpen(): boolean {
        return this.stream === undefined || !this.stream.readableDidRead && !this.stream.destroyed;
    }

    /** Returns the body from its first byte, or `undefined` if there is none. */
    open(): Readable | undefined {
        if (this.bytes) {
            return Readable.from([this.bytes], { objectMode: false });
        }
        return this.stream;
    }
}
