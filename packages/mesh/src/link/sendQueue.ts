import type { BodySender } from "../stream/bodySender.js";
import type { Connection } from "../transport/connection.js";

/** A queued message. */
type QueuedMessage = {
    readonly bytes: Uint8Array;
    readonly isControl: boolean;
    /** Called before the message is written to the socket; the message is dropped when it returns false. */
    readonly onWrite: (() => boolean) | undefined;
};

type SendQueueSettings = {
    readonly frameLimitBytes: number;
    readonly batchBytes: number;
    readonly chunkBytes: number;
    readonly socketBufferBytes: number;
    readonly maxQueuedControl: number;
};

/** Upper bound of the encoding overhead of a data message. */
const DATA_OVERHEAD_BYTES = 32;

/**
 * Queue of the messages and bodies to be sent on a link. Messages of one event loop turn share frames. Messages are sent
 * before body data, and bodies take turns chunk by chunk, so that none waits behind a large one.
 */
export class SendQueue {
    private readonly connection: Connection;
    private readonly settings: SendQueueSettings;
    private readonly onSent: (bytes: number, messages: number) => void;
    private messages: QueuedMessage[] = [];
    private next = 0;
    private controlCount = 0;
    private readonly bodies = new Set<BodySender>();
    private isScheduled = false;
    private isClosed = false;

    /** @param onSent called for each frame written to the socket */
    constructor(
        connection: Connection,
        settings: SendQueueSettings,
        onSent: (bytes: number, messages: number) => void,
    ) {
        this.connection = connection;
        this.settings = settings;
        this.onSent = onSent;
    }

    /** Whether the queue is empty. */
    get isEmpty(): boolean {
        return this.next === this.messages.length && this.bodies.size === 0;
    }

    /** Queues a message; the number of such messages is bounded by the streams. Returns false when it is larger than a frame. */
    add(bytes: Uint8Array, onWrite?: () => boolean): boolean {
        return this.push({ bytes, isControl: false, onWrite });
    }

    /** Queues a control message. Returns false when too many are queued or it is larger than a frame. */
    addControl(bytes: Uint8Array): boolean {
        if (this.controlCount >= this.settings.maxQueuedControl) {
            return false;
        }
        return this.push({ bytes, isControl: true, onWrite: undefined });
    }

    /** Adds a body that has something to send. */
    addBody(sender: BodySender): void {
        this.bodies.add(sender);
        this.schedule();
    }

    /** Removes a body. */
    removeBody(sender: BodySender): void {
        this.bodies.delete(sender);
    }

    /** Writes frames until the queue is empty or the socket's buffer limit is reached. */
    flush(): void {
        while (!this.isClosed && this.connection.bufferedBytes < this.settings.socketBufferBytes) {
            const frame = this.buildFrame();
            if (frame.length === 0) {
                return;
            }
            const bytes = frame.length === 1 ? frame[0]! : Buffer.concat(frame);
            this.connection.send(bytes);
            this.onSent(bytes.length, frame.length);
        }
    }

    /** Drops all queued messages and bodies. */
    close(): void {
        this.isClosed = true;
        this.messages = [];
        this.next = 0;
        this.bodies.clear();
    }

    private push(entry: QueuedMessage): boolean {
        if (this.isClosed || entry.bytes.length > this.settings.frameLimitBytes) {
            return false;
        }
        this.messages.push(entry);
        this.controlCount += entry.isControl ? 1 : 0;
        this.schedule();
        return true;
    }

    private schedule(): void {
        if (this.isScheduled || this.isClosed) {
            return;
        }
        this.isScheduled = true;
        setImmediate(() => {
            this.isScheduled = false;
            this.flush();
        });
    }

    private buildFrame(): Uint8Array[] {
        const frame: Uint8Array[] = [];
        let size = 0;
        while (size < this.settings.batchBytes) {
            const bytes = this.nextQueued(size) ?? this.nextData(size);
            if (!bytes) {
                break;
            }
            frame.push(bytes);
            size += bytes.length;
        }
        return frame;
    }

    private nextQueued(size: number): Uint8Array | undefined {
        for (let entry = this.messages[this.next]; entry; entry = this.messages[this.next]) {
            if (size + entry.bytes.length > this.settings.frameLimitBytes) {
                return undefined;
            }
            this.dequeue(entry);
            if (entry.onWrite?.() ?? true) {
                return entry.bytes;
            }
        }
        return undefined;
    }

    private dequeue(entry: QueuedMessage): void {
        this.controlCount -= entry.isControl ? 1 : 0;
        this.next++;
        if (this.next === this.messages.length) {
            this.messages = [];
            this.next = 0;
        }
    }

    private nextData(size: number): Uint8Array | undefined {
        const { chunkBytes, frameLimitBytes } = this.settings;
        const isWaiting = this.next < this.messages.length;
        if (isWaiting || size + chunkBytes + DATA_OVERHEAD_BYTES > frameLimitBytes) {
            return undefined;
        }
        for (const sender of this.bodies) {
            this.bodies.delete(sender);
            const bytes = sender.nextMessage();
            if (bytes) {
                this.bodies.add(sender);
                return bytes;
            }
        }
        return undefined;
    }
}
