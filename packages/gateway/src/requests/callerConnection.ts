import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Requests of one connection that are routed at the same time; a caller may send several before the first is answered. */
const MAX_ROUTED = 8;

/** A request that was read from the connection and has no complete reply yet. */
type OpenRequest = {
    readonly message: IncomingMessage;
    /** Resolves to whether the request may be routed. One behind a reply that closes the connection never may: it counts as not read. */
    readonly turn: Promise<boolean>;
    isRouted: boolean;
    readonly start: (mayRoute: boolean) => void;
    /** Called when the connection has closed before the reply. */
    readonly notifyClosed: () => void;
};

/**
 * The requests of one caller's connection, in the order in which they were read. Beyond a limit they wait, and nothing more is read
 * meanwhile, so that a caller who sends without reading neither occupies servers nor memory; none is refused for that.
 */
export class CallerConnection {
    private readonly socket: Socket;
    private readonly requests: OpenRequest[] = [];
    private readonly isClosing: () => boolean;
    private isEnding = false;
    private isReadingEnded = false;

    /** @param isClosing whether replies are to close the connection, so that nothing more is routed beside what is */
    constructor(socket: Socket, isClosing: () => boolean) {
        this.socket = socket;
        this.isClosing = isClosing;
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
    add(message: IncomingMessage, notifyClosed: () => void): OpenRequest {
        let start: OpenRequest["start"] = () => undefined;
        const turn = new Promise<boolean>(resolve => {
            start = resolve;
        });
        const request: OpenRequest = { message, turn, start, isRouted: false, notifyClosed };
        if (this.isReadingEnded) {
            start(false);
            return request;
        }
        this.requests.push(request);
        this.startWaiting();
        return request;
    }

    /** Removes a request that has its reply. */
    remove(request: OpenRequest): void {
        const index = this.requests.indexOf(request);
        if (index >= 0) {
            this.requests.splice(index, 1);
            this.startWaiting();
        }
        if (this.isReadingEnded && this.requests.length === 0) {
            this.socket.destroySoon();
        }
    }

    /** Whether no request behind this one is or will be routed, so that its reply may close the connection. */
    isLast(request: OpenRequest): boolean {
        const behind = this.requests.slice(this.requests.indexOf(request) + 1);
        return this.isClosing() ? !behind.some(({ isRouted }) => isRouted) : behind.length === 0;
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
        const limit = this.isClosing() ? 1 : MAX_ROUTED;
        const starting = waiting.slice(0, Math.max(0, limit - routed));
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
        this.requests.splice(0).forEach(({ notifyClosed, start }) => {
            start(false);
            notifyClosed();
        });
    }
}
