import { Readable } from "node:stream";

/**
 * A caller's body. A small one is held whole and can be sent again; a long one is a stream that can be opened
 * as long as nothing was read from it.
 */
export class RequestBody {
    private readonly bytes: Buffer | undefined;
    private readonly stream: Readable | undefined;

    private constructor(bytes: Buffer | undefined, stream: Readable | undefined) {
        this.bytes = bytes;
        this.stream = stream;
    }

    /** No body. */
    static none(): RequestBody {
        return new RequestBody(undefined, undefined);
    }

    /** A body that was read whole. */
    static whole(bytes: Buffer): RequestBody {
        return new RequestBody(bytes, undefined);
    }

    /** A body that is still arriving. */
    static arriving(stream: Readable): RequestBody {
        return new RequestBody(undefined, stream);
    }

    /** Whether there is a body at all. */
    get isPresent(): boolean {
        return this.bytes !== undefined || this.stream !== undefined;
    }

    /** Whether the body can be sent any number of times. */
    get isRepeatable(): boolean {
        return this.stream === undefined;
    }

    /** The bytes of a body that was read whole; used to tell a repeated request from a different one. */
    get wholeBytes(): Buffer | undefined {
        return this.bytes;
    }

    /** Whether the body can be sent (again) from its first byte. */
    canOpen(): boolean {
        return this.stream === undefined || !this.stream.readableDidRead && !this.stream.destroyed;
    }

    /** The body from its first byte, or `undefined` for none. */
    open(): Readable | undefined {
        if (this.bytes) {
            return Readable.from([this.bytes], { objectMode: false });
        }
        return this.stream;
    }
}
