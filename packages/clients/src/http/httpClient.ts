import type { Clock, HeaderFields, Metrics, Milliseconds } from "@arbutusdoor/common";
import PQueue from "p-queue";
import type { Pool } from "undici";
import { AbandonedError } from "./abandonedError.js";
import { bufferBody } from "./bufferBody.js";
import { createHttpPool } from "./createHttpPool.js";
import type { HttpAnswer } from "./httpAnswer.js";
import { HttpExchange } from "./httpExchange.js";
import type { HttpLimits } from "./httpLimits.js";

const INTERVAL_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const ANSWER_TIMEOUT = "no whole answer within the time limit";
const QUEUE_TIMEOUT: HttpAnswer = { kind: "notRun", reason: "the call waited longer than its time limit" };

/** Options of a client. */
type HttpClientOptions = {
    /** Label of the metrics, for example `table-read`. */
    readonly name: string;
    /** Start of every URL: scheme, IP address and port. */
    readonly baseUrl: string;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly limits: HttpLimits;
    /** Whether connections may be opened now; while they may not, calls without an open connection end as not run. */
    readonly mayConnect?: () => boolean;
};

/** A call by an adapter. */
type HttpCall = {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Uint8Array;
    /** Time in ms from the call to the complete answer; defaults to the client's limit. */
    readonly timeoutMs?: number;
    /** Whether an answer belongs to this call, for servers that may send answers to other calls. */
    readonly isMatchingAnswer?: (status: number, headers: HeaderFields) => boolean;
    /** Whether the connection of an answer carries no further call; see the request. */
    readonly isLastAnswer?: (status: number, headers: HeaderFields) => boolean;
    /** Whether the connection is closed after the answer. */
    readonly closesConnection?: boolean;
    /** Aborts the call. */
    readonly signal?: AbortSignal;
};

/** Calls one outside system with limits on rate, concurrency and queue length. Calls never reject. */
export class HttpClient {
    private readonly options: HttpClientOptions;
    private readonly queue: PQueue;
    private readonly pool: Pool;

    constructor(options: HttpClientOptions) {
        this.options = options;
        const { concurrency, requestsPerSecond } = options.limits;
        this.queue = new PQueue({ concurrency, intervalCap: requestsPerSecond, interval: INTERVAL_MS });
        this.pool = createHttpPool(options.baseUrl, {
            connections: concurrency,
            connectTimeoutMs: options.limits.timeoutMs,
            idleTimeoutMs: options.limits.idleTimeoutMs,
            mayConnect: options.mayConnect,
        });
    }

    /** Makes a call, or returns `notRun` when the queue is full. */
    async call(call: HttpCall): Promise<HttpAnswer> {
        const { clock, metrics, name } = this.options;
        const startedAt = clock.now();
        const answer = await this.enqueue(call);
        metrics.count("arbutusdoor_platform_calls_total", { system: name, outcome: answer.kind });
        const duration = (clock.now() - startedAt) * MICROSECONDS_PER_MS;
        metrics.record("arbutusdoor_platform_call_microseconds", { system: name }, duration);
        return answer;
    }

    /** Closes the connections once calls in progress have ended. */
    async close(): Promise<void> {
        await this.pool.close();
    }

    /** Closes all connections at once. Calls in progress end as `unknown`, waiting ones as `notRun`. */
    abandon(): void {
        void this.pool.destroy(new AbandonedError());
    }

    private async enqueue(call: HttpCall): Promise<HttpAnswer> {
        const { clock, limits, metrics, name } = this.options;
        if (this.queue.size >= limits.waitingLimit) {
            metrics.count("arbutusdoor_platform_overflow_total", { system: name });
            return { kind: "notRun", reason: "too many calls wait for this system" };
        }
        const timeout = new AbortController();
        const timeoutMs = call.timeoutMs ?? limits.timeoutMs;
        const timer = clock.schedule(timeoutMs, () => timeout.abort(new Error(ANSWER_TIMEOUT)));
        const signal = call.signal ? AbortSignal.any([timeout.signal, call.signal]) : timeout.signal;
        const endsAt = clock.now() + timeoutMs;
        const answer = await this.runQueued(call, signal, endsAt);
        timer.cancel();
        return answer;
    }

    private async runQueued(call: HttpCall, signal: AbortSignal, endsAt: Milliseconds): Promise<HttpAnswer> {
        let exchange: Promise<HttpAnswer> | undefined;
        try {
            await this.queue.add(
                () => {
                    exchange = this.exchange(call, signal, endsAt);
                    return exchange;
                },
                { signal },
            );
        }
        catch {
            // The signal ended the wait in the queue; an exchange that has started still reports its own outcome.
        }
        return await (exchange ?? QUEUE_TIMEOUT);
    }

    private async exchange(call: HttpCall, signal: AbortSignal, endsAt: Milliseconds): Promise<HttpAnswer> {
        const { clock, limits } = this.options;
        const request = {
            method: call.method,
            path: call.path,
            headers: call.headers ?? {},
            body: call.body,
            headTimeout: call.timeoutMs ?? limits.timeoutMs,
            isMatchingAnswer: call.isMatchingAnswer,
            isLastAnswer: call.isLastAnswer,
            closesConnection: call.closesConnection,
            // In a blocked event loop the timer runs after the connections that have opened meanwhile.
            maySend: () => clock.now() < endsAt,
            signal,
        };
        const outcome = await HttpExchange.send(this.pool, request, clock);
        return await getAnswer(outcome, limits.answerLimitBytes);
    }
}

async function getAnswer(
    outcome: Awaited<ReturnType<typeof HttpExchange.send>>,
    limitBytes: number,
): Promise<HttpAnswer> {
    if (outcome.kind === "notSent") {
        return { kind: "notRun", isRefused: outcome.isRefused, reason: outcome.reason };
    }
    if (outcome.kind === "lost") {
        return { kind: "unknown", reason: outcome.reason };
    }
    const body = await bufferBody(outcome.body, limitBytes);
    return body.kind === "broken"
        ? { kind: "unknown", reason: body.reason }
        : { kind: "answer", status: outcome.status, headers: outcome.headers, bytes: body.bytes };
}
