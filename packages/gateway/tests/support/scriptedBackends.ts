import type { HeaderFields } from "@arbutusdoor/common";
import { Readable } from "node:stream";
import type { BackendAttempt } from "../../src/backends/backendAttempt.js";
import { BackendClient } from "../../src/backends/backendClient.js";
import type { BackendOutcome } from "../../src/backends/backendOutcome.js";
import type { ScriptedBehaviour } from "./scriptedBehaviour.js";

const HEADERS: HeaderFields = { "x-request-id": "r1" };

/** Servers that do what a test says, one step a request. */
export class ScriptedBackends extends BackendClient {
    readonly sent: string[] = [];
    private readonly steps: ScriptedBehaviour[];

    constructor(steps: readonly ScriptedBehaviour[]) {
        super();
        this.steps = [...steps];
    }

    override send(request: BackendAttempt): Promise<BackendOutcome> {
        const step = this.steps.shift() ?? "ok";
        this.sent.push(`${request.server.id} ${step} within ${Math.round(request.timeLeft)}`);
        return step === "silent" ? waitForAbort(request.signal) : Promise.resolve(newOutcome(step));
    }

    override limitConnections(): void {}

    override close(): Promise<void> {
        return Promise.resolve();
    }
}

function newOutcome(step: Exclude<ScriptedBehaviour, "silent">): BackendOutcome {
    switch (step) {
        case "ok":
            return newAnswer(200, Readable.from([Buffer.from("whole")]), true);
        case "error":
            return newAnswer(500, Readable.from([Buffer.from("failed")]), true);
        case "unsigned":
            return newAnswer(200, Readable.from([Buffer.from("forged")]), false);
        case "broken":
            return newAnswer(200, newBrokenBody(), true);
        case "lost":
            return { kind: "unknown", detail: "reset" };
        default:
            return { kind: "notRun", cause: step, detail: "said so" };
    }
}

function newAnswer(status: number, body: Readable, isSigned: boolean): BackendOutcome {
    return { kind: "answered", status, headers: HEADERS, body, isSigned };
}

function newBrokenBody(): Readable {
    return Readable.from((async function*() {
        yield await Promise.resolve(Buffer.from("ha"));
        throw new Error("broke off");
    })());
}

function waitForAbort(signal: AbortSignal): Promise<BackendOutcome> {
    return new Promise(resolve => {
        signal.addEventListener("abort", () => resolve({ kind: "cancelled", isSent: true }));
    });
}
