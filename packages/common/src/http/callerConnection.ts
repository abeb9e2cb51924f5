import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Requests of one connection that are routed at the same time; a caller may send several before the first is answered. */
const MAX_ROUTED = 8;

/** A request that was read from the connection and has no complete reply yet. */
type QueuedRequest = {
    readonly message: IncomingMessage;
    /** Resolves to whether the request may be routed. One behind a reply that closes the connection never may. */
    readonly turn: Promise<boolean>;
    isRouted: boolean;
    readonly start: (mayRoute: boolean) => void;
    /** Resolves once the request has its reply, or the connection has closed. */
    readonly removed: Promise<void>;
    readonly notifyRemoved: () => void;
    /** Called when the connection has closed before the reply. */
    readonly notifyClosed: () => void;
};

/**
 * The requests of one caller's connection, in the order in which they were read. Beyond a limit they wait, and nothing more is read
 * meanwhile, so that a caller who sends without reading neither occupies servers nor memory; none is refused for that.
 */
export class CallerConnection {
    private readonly socket: Socket;
    private readonly requests: QueuedRequest[] = [];
    private isEnding = false;
    private isReadingEnded = false;

    constructor(socket: Socket) {
        this.socket = socket;
        socket.once("close", () => this.abandon());
    }

    /** Number of requests that were read and have no complete reply. */
    get size(): number {
        return this.requests.length;
    }

    /** Whether nothing more is read as a request, so that the last reply closes the connection. */
    get hasEndedReading(): boolean {
        return this.isReadingEnded;
    }

    /** Whether all of its requests were read to their end. */
    get isWhole(): boolean {
        return this.requests.every(({ message }) => message.complete);
    }

    /** Reads no further request; those that were read keep their replies. */
    endReading(): void {
        this.isReadingEnded = true;
    }

    /** Adds a request that was read. It has to be removed once it has its reply, unless the connection closes before. */
    add(message: IncomingMessage, notifyClosed: () => void): QueuedRequest {
        let start: QueuedRequest["start"] = () => undefined;
        const turn = new Promise<boolean>(resolve => {
            start = resolve;
        });
        let notifyRemoved: QueuedRequest["notifyRemoved"] = () => undefined;
        const removed = new Promise<void>(resolve => {
            notifyRemoved = resolve;
        });
        const request: QueuedRequest = {
            message,
            turn,
            start,
            removed,
            notifyRemoved,
            isRouted: false,
            notifyClosed,
        };
        // Once this side of the connection has ended, no reply can be sent.
        if (this.isReadingEnded || this.socket.writableEnded) {
            start(false);
            return request;
        }
        this.requests.push(request);
        this.startWaiting();
        return request;
    }

    /** Removes a request that has its reply. */
    remove(request: QueuedRequest): void {
        const index = this.requests.indexOf(request);
        if (index >= 0) {
            this.requests.splice(index, 1);
            request.notifyRemoved();
            this.startWaiting();
        }
        if (this.isReadingEnded && this.requests.length === 0) {
            this.socket.destroySoon();
        }
    }

    /** Whether no request was read behind this one. */
    isLast(request: QueuedRequest): boolean {
        return this.requests.at(-1) === request;
    }

    /** Resolves once the replies to all requests before this one are complete, or the connection has closed. */
    async waitForTurn(request: QueuedRequest): Promise<void> {
        while (this.requests.includes(request) && this.requests[0] !== request) {
            await this.requests[0]!.removed;
        }
    }

    /** Routes no further request, since a reply closes the connection. */
    end(): void {
        this.isEnding = true;
        this.requests.filter(({ isRouted }) => !isRouted).forEach(({ start }) => start(false));
    }

    private startWaiting(): void {
        const routed = this.requests.filter(({ isRouted }) => isRouted).length;
        const waiting = this.requests.filter(({ isRouted }) => !isRouted);
        if (this.isEnding) {
            waiting.forEach(({ start }) => start(false));
            return;
        }
        const starting = waiting.slice(0, Math.max(0, MAX_ROUTED - routed));
        for (const request of starting) {
            request.isRouted = true;
            request.start(true);
        }
        if (waiting.length > starting.length) {
            this.socket.pause();
        }
        else if (waiting.length > 0) {
            this.socket.resume();
        }
    }

    private abandon(): void {
        this.isEnding = true;
        this.requests.splice(0).forEach(({ notifyClosed, notifyRemoved, start }) => {
            start(false);
            notifyClosed();
            notifyRemoved();
        });
    }
}
