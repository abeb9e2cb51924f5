import { Readable } from "node:stream";
import type { BackendAttempt } from "../../src/backends/backendAttempt.js";
import { BackendClient } from "../../src/backends/backendClient.js";
import type { BackendOutcome } from "../../src/backends/backendOutcome.js";

/** Backend servers that answer a request, with its path as the body, only once the test lets them. */
export class HeldBackends extends BackendClient {
    /** Paths of the requests that were sent, in order. */
    readonly sent: string[] = [];
    /** Paths of the requests that were cancelled. */
    readonly cancelled: string[] = [];
    private readonly held = new Map<string, (outcome: BackendOutcome) => void>();

    override send({ body, path, signal }: BackendAttempt): Promise<BackendOutcome> {
        this.sent.push(path);
        if (body instanceof Readable) {
            body.on("error", () => undefined).resume();
        }
        return new Promise(resolve => {
            this.held.set(path, resolve);
            signal.addEventListener("abort", () => {
                this.cancelled.push(path);
                resolve({ kind: "cancelled", isSent: true });
            });
        });
    }

    /** Answers a request. A body of its own makes the answer longer than what is read whole before it is passed on. */
    answer(path: string, body: Readable | string = path, headers: Record<string, string> = {}): void {
        const stream = typeof body === "string" ? Readable.from([Buffer.from(body)]) : body;
        this.held.get(path)!({ kind: "answered", status: 200, headers, body: stream, isSigned: true });
    }

    override limitConnections(): void {}

    override close(): Promise<void> {
        return Promise.resolve();
    }
}
