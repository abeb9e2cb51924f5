import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Requests without their whole answer yet, by connection; says what may still be written after a malformed request. */
export class OpenExchanges {
    private readonly exchanges = new WeakMap<Duplex, Set<IncomingMessage>>();

    /** Notes a request until its answer has ended. */
    add(message: IncomingMessage, response: ServerResponse): void {
        const { socket } = message;
        const open = this.exchanges.get(socket) ?? new Set();
        this.exchanges.set(socket, open.add(message));
        response.once("close", () => open.delete(message));
    }

    /**
     * What a connection with unreadable bytes stands at: `idle` (nothing is open), `whole` (only requests that arrived whole
     * are open, and get their answers) or `broken` (the bytes belonged to the body of an open request).
     */
    getState(socket: Duplex): "idle" | "whole" | "broken" {
        const open = [...this.exchanges.get(socket) ?? []];
        if (open.length === 0) {
            return "idle";
        }
        return open.every(message => message.complete) ? "whole" : "broken";
    }
}
