import type { Clock, Milliseconds } from "@arbutusdoor/common";
import { Readable } from "node:stream";
import type { BackendAttempt } from "../../src/backends/backendAttempt.js";
import { BackendClient } from "../../src/backends/backendClient.js";
import type { BackendOutcome } from "../../src/backends/backendOutcome.js";

/** Backend servers that answer each attempt after a time of its own, with its number as the body, or refuse it at once. */
export class DelayedBackends extends BackendClient {
    /** Number of attempts that were sent. */
    sent = 0;
    /** Numbers of the attempts that were broken off before their answer. */
    readonly brokenOff: number[] = [];
    private readonly clock: Clock;
    private readonly steps: readonly (Milliseconds | "refuses")[];

    constructor(clock: Clock, steps: readonly (Milliseconds | "refuses")[]) {
        super();
        this.clock = clock;
        this.steps = steps;
    }

    override send({ signal }: BackendAttempt): Promise<BackendOutcome> {
        const number = ++this.sent;
        const step = this.steps[number - 1] ?? 0;
        if (step === "refuses") {
            return Promise.resolve({ kind: "notRun", cause: "shed", detail: "said so" });
        }
        return new Promise(resolve => {
            const timer = this.clock.schedule(step, () => resolve(createAnswer(String(number))));
            signal.addEventListener("abort", () => {
                timer.cancel();
                this.brokenOff.push(number);
                resolve({ kind: "cancelled", isSent: true });
            });
        });
    }

    override limitConnections(): void {}

    override close(): Promise<void> {
        return Promise.resolve();
    }
}

function createAnswer(body: string): BackendOutcome {
    return {
        kind: "answered",
        status: 200,
        headers: {},
        body: Readable.from([Buffer.from(body)]),
        isSigned: true,
    };
}
