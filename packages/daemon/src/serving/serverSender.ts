import type { BackendAnswer, BackendTraffic } from "@arbutusdoor/clients";
import { type Clock, createRefusal, type Metrics } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import type { Answer } from "./answer.js";
import { createProgressStream } from "./createProgressStream.js";
import { refuse } from "./refuse.js";
import type { ServingRequest } from "./servingRequest.js";
import { waitForEnd } from "./waitForEnd.js";

/** A request that was sent: the head of its answer, and a promise for its end. */
type Sending = {
    readonly answer: Answer;
    /** Resolves once the answer's body has ended or failed. */
    readonly ended: Promise<void>;
};

/** Sends single requests to backend servers, enforcing deadlines and aborting stalled bodies. */
export class ServerSender {
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    private readonly traffic: BackendTraffic;

    constructor(clock: Clock, metrics: Metrics, traffic: BackendTraffic) {
        this.clock = clock;
        this.metrics = metrics;
        this.traffic = traffic;
    }

    /** Sends the request and waits for the head of its answer. Never rejects. */
    async send(request: ServingRequest): Promise<Sending> {
        const stop = new AbortController();
        const abort = () => stop.abort(request.signal.reason);
        request.signal.addEventListener("abort", abort, { once: true });
        if (request.signal.aborted) {
            abort();
        }
        let isStalled = false;
        const onStall = () => {
            isStalled = true;
            this.metrics.count("arbutusdoor_stalled_bodies_total", { class: request.requestClass.name });
            abort();
        };
        const sent = request.body && this.watch(request.body, request, onStall, destroyIfRead);
        const reply = await this.traffic.send({
            id: request.id,
            server: request.server,
            address: request.address,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: sent,
            deadline: Math.max(0, request.deadlineAt - this.clock.now()),
            slice: request.slice,
            signal: stop.signal,
        });
        if (reply.kind !== "answered") {
            sent?.destroy();
            request.signal.removeEventListener("abort", abort);
            return { answer: this.getRefusal(reply, request, isStalled), ended: Promise.resolve() };
        }
        const body = this.watch(reply.body, request, onStall);
        const ended = waitForEnd(body).then(() => {
            request.signal.removeEventListener("abort", abort);
            sent?.destroy();
        });
        return { answer: { ...reply, body }, ended };
    }

    private watch(
        stream: Readable,
        { requestClass }: ServingRequest,
        onStall: () => void,
        release?: (source: Readable, hasRead: boolean) => void,
    ): Readable {
        return createProgressStream(stream, this.clock, requestClass.progressTimeoutMs, onStall, release);
    }

    private getRefusal(
        reply: Exclude<BackendAnswer, { kind: "answered"; }>,
        request: ServingRequest,
        isStalled: boolean,
    ): Answer {
        if (reply.kind === "notRun") {
            return this.getNotRun(reply, request);
        }
        if (isStalled) {
            return refuse("uploadStalled", "no byte of the body moved for the progress timeout of its class");
        }
        if (request.signal.aborted) {
            return refuse("callerGone", "the caller left while the request ran");
        }
        if (this.clock.now() >= request.deadlineAt) {
            return refuse("deadlineAfterStart", "the deadline passed while the request ran");
        }
        if (request.body?.errored) {
            return refuse("bodyBroken", `the body broke off: ${request.body.errored.message}`);
        }
        return refuse("connectionLost", "the connection to the backend server broke off");
    }

    private getNotRun(reply: Extract<BackendAnswer, { kind: "notRun"; }>, request: ServingRequest): Answer {
        switch (reply.cause) {
            case "unreachable":
                return this.clock.now() >= request.deadlineAt
                    ? refuse("deadlineBeforeStart", "the deadline passed before the request could be sent")
                    : refuse("ownerUnreachable", "the backend server takes no connection");
            case "stale":
                return refuse("staleOwner", "the backend server does not own the key");
            case "shed":
            case "leaving":
                return refuse("serverRefused", `the backend server did not run it: ${reply.cause}`);
            case "cancelled":
                return {
                    kind: "refusal",
                    refusal: { ...createRefusal("callerGone", "the caller left"), outcome: "notRun" },
                };
        }
    }
}

/** Keeps a body of which nothing was read, so that another attempt can send it. */
function destroyIfRead(source: Readable, hasRead: boolean): void {
    if (hasRead) {
        source.destroy();
    }
}
