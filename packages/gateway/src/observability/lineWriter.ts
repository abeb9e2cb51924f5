import { write, writeSync } from "node:fs";

/** Bytes that may wait for the output; further lines are dropped and counted. */
const WAITING_LIMIT_BYTES = 1_048_576;
/** Delay after an incomplete or failed write. */
const RETRY_MS = 50;

/** Writes lines to a file descriptor without blocking the event loop: one write at a time, in a thread of the runtime. */
export class LineWriter {
    private readonly descriptor: number;
    private waiting: string[] = [];
    private waitingBytes = 0;
    private isWriting = false;
    private dropped = 0;

    /** @param descriptor 1 for the standard output */
    constructor(descriptor: number) {
        this.descriptor = descriptor;
    }

    /** Appends a line, or drops it when too many bytes are waiting. */
    write(line: string): void {
        if (this.waitingBytes > WAITING_LIMIT_BYTES) {
            this.dropped++;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.flush();
    }

    /** Returns the number of lines dropped since the last call. */
    takeDropped(): number {
        const { dropped } = this;
        this.dropped = 0;
        return dropped;
    }

    /** Writes the waiting lines before it returns, for a process that ends now. An output that takes no more bytes loses them. */
    writeAll(): void {
        const bytes = Buffer.from(this.waiting.map(line => `${line}\n`).join(""));
        this.waiting = [];
        this.waitingBytes = 0;
        try {
            for (let offset = 0; offset < bytes.length;) {
                offset += writeSync(this.descriptor, bytes, offset);
            }
        }
        catch {
            // There is nowhere else to report this.
        }
    }

    private flush(): void {
        if (this.isWriting || this.waiting.length === 0) {
            return;
        }
        const bytes = Buffer.from(`${this.waiting.join("\n")}\n`);
        this.waiting = [];
        this.writeFrom(bytes, 0);
    }

    private writeFrom(bytes: Buffer, offset: number): void {
        this.isWriting = true;
        write(this.descriptor, bytes, offset, bytes.length - offset, undefined, (error, written) => {
            const next = offset + (error ? 0 : written);
            if (next < bytes.length) {
                setTimeout(() => this.writeFrom(bytes, next), RETRY_MS).unref();
                return;
            }
            this.isWriting = false;
            this.waitingBytes = this.waiting.reduce((total, line) => total + line.length, 0);
            this.flush();
        });
    }
}
