import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Tracks the requests of each connection that have no complete answer yet, to decide what to do about malformed bytes. */
export class OpenExchanges {
    private readonly exchanges = new WeakMap<Duplex, Set<IncomingMessage>>();

    /** Tracks a request until its answer has ended. */
    add(message: IncomingMessage, response: ServerResponse): void {
        const { socket } = message;
        const open = this.exchanges.get(socket) ?? new Set();
        this.exchanges.set(socket, open.add(message));
        response.once("close", () => open.delete(message));
    }

    /**
     * Returns the state of a connection that received malformed bytes: `idle` (no request is open), `whole` (all open
     * requests arrived whole and get their answers) or `broken` (the bytes belong to the body of an open request).
     */
    getState(socket: Duplex): "idle" | "whole" | "broken" {
        const open = [...this.exchanges.get(socket) ?? []];
        if (open.length === 0) {
            return "idle";
        }
        return open.every(message => message.complete) ? "whole" : "broken";
    }
}
