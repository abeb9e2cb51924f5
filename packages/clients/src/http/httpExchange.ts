import type { Clock, Timer } from "@arbutusdoor/common";
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import { AnswerBody } from "./answerBody.js";
import type { AnswerProgress } from "./answerProgress.js";
import type { AssignedConnection } from "./assignedConnection.js";
import { getEndToEndHeaders } from "./getEndToEndHeaders.js";
import { hasStatedEnd } from "./hasStatedEnd.js";
import type { HttpOutcome } from "./httpOutcome.js";
import type { HttpRequest } from "./httpRequest.js";
import type { OpenConnection } from "./openConnection.js";

const FIRST_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/**
 * One request over a pool of connections. It is assigned to at most one connection, once: a timeout, cancellation or failure
 * before that means that nothing was sent; after that the request may have been received.
 */
export class HttpExchange implements Dispatcher.DispatchHandler {
    private readonly request: HttpRequest;
    private readonly clock: Clock;
    private readonly resolve: (outcome: HttpOutcome) => void;
    private readonly cancel = () => this.end(getCancelReason(this.request.signal), true);
    private readonly progress: AnswerProgress = { parts: 0 };
    private readonly assigned: AssignedConnection = { get: () => undefined };
    private connection: OpenConnection | undefined;
    private timer: Timer | undefined;
    private controller: Dispatcher.DispatchController | undefined;
    private body: AnswerBody | undefined;
    private isSettled = false;
    private isEnded = false;
    private isWithheld = false;

    private constructor(request: HttpRequest, clock: Clock, resolve: (outcome: HttpOutcome) => void) {
        this.request = request;
        this.clock = clock;
        this.resolve = resolve;
    }

    /** Sends a request over a pool; never rejects. */
    static send(pool: Dispatcher, request: HttpRequest, clock: Clock): Promise<HttpOutcome> {
        return new Promise(resolve => {
            const exchange = new HttpExchange(request, clock, resolve);
            exchange.begin(pool);
        });
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.isEnded || this.controller) {
            controller.abort(new Error("the request has ended or was sent before"));
            return;
        }
        const { carriers, maySend } = this.request;
        const connection = this.assigned.get();
        if (connection && (connection.isRetired || carriers?.has(connection.id))) {
            this.withhold(controller, "the connection must not carry this request");
            return;
        }
        // Asked last: the permission may count against a quota, and nothing prevents the request from being sent after it.
        if (maySend?.() === false) {
            this.withhold(controller, "the request was not to be sent any more");
            return;
        }
        this.connection = connection;
        this.controller = controller;
        if (connection) {
            carriers?.add(connection.id);
        }
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        rawHeaders: Record<string, string | string[] | undefined>,
    ): void {
        if (status >= FIRST_STATUS && status < FIRST_FINAL_STATUS) {
            return;
        }
        this.progress.parts++;
        if (status < FIRST_STATUS || status > LAST_STATUS) {
            // A server in trouble sends any three digits. They say nothing about the request, whatever the header fields are.
            this.end(`${status} is not a status of an answer`, false);
            return;
        }
        if (!hasStatedEnd(this.request.method, status, rawHeaders)) {
            this.end("the answer does not state where it ends", false);
            return;
        }
        const headers = getEndToEndHeaders(rawHeaders);
        if (this.request.isMatchingAnswer?.(status, headers) === false) {
            this.end("the answer on the connection belongs to another request", false);
            return;
        }
        if (this.connection && this.request.isLastAnswer?.(status, headers)) {
            this.connection.isRetired = true;
        }
        this.body = new AnswerBody(controller);
        this.settle({
            kind: "head",
            status,
            headers,
            body: this.body.stream,
            connection: this.connection?.id,
        });
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.progress.parts++;
        this.body?.accept(chunk);
    }

    onResponseEnd(): void {
        this.progress.parts++;
        this.release();
        this.body?.finish();
    }

    onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.fail(getReason(error), false, error);
    }

    private begin(pool: Dispatcher): void {
        const { method, path, headers, body, getLateHeaders, headTimeout, signal } = this.request;
        if (body instanceof Readable) {
            body.on("error", ignore);
        }
        if (signal?.aborted) {
            this.cancel();
            return;
        }
        signal?.addEventListener("abort", this.cancel, { once: true });
        this.timer = this.clock.schedule(
            headTimeout,
            () => this.end("no answer within the time limit", false),
        );
        try {
            const options = {
                method,
                path,
                // Read by the connection that the request is assigned to.
                get headers() {
                    return { ...headers, ...getLateHeaders?.() } as Record<string, string | string[]>;
                },
                body,
                progress: this.progress,
                assigned: this.assigned,
                carriers: this.request.carriers,
                reset: this.request.closesConnection,
            };
            pool.dispatch(options, this);
        }
        catch (error) {
            this.fail(getReason(error), false, error);
        }
    }

    private withhold(controller: Dispatcher.DispatchController, reason: string): void {
        this.isWithheld = true;
        const error = new Error(reason);
        this.fail(reason, false, error);
        controller.abort(error);
    }

    /** Aborts the exchange; if it has no connection yet, it never gets one. */
    private end(reason: string, isCancelled: boolean): void {
        if (this.isEnded) {
            return;
        }
        const error = new Error(reason);
        this.fail(reason, isCancelled, error);
        this.controller?.abort(error);
    }

    private fail(reason: string, isCancelled: boolean, error: unknown): void {
        this.release();
        this.settle(
            this.controller
                ? { kind: "lost", isCancelled, reason, connection: this.connection?.id }
                : {
                    kind: "notSent",
                    isCancelled,
                    isRefused: isRefused(error),
                    isWithheld: this.isWithheld,
                    reason,
                },
        );
        this.body?.fail(error instanceof Error ? error : new Error(reason));
    }

    private settle(outcome: HttpOutcome): void {
        this.timer?.cancel();
        if (!this.isSettled) {
            this.isSettled = true;
            this.resolve(outcome);
        }
    }

    private release(): void {
        this.isEnded = true;
        this.timer?.cancel();
        this.request.signal?.removeEventListener("abort", this.cancel);
    }
}

/** Ignores errors of the request body. The exchange is notified of them while it lasts; later ones must not end the process. */
function ignore(): void {}

function getCancelReason(signal: AbortSignal | undefined): string {
    const reason: unknown = signal?.reason;
    const isStated = reason instanceof Error && reason.name === "Error";
    return isStated ? reason.message : "the request was cancelled";
}

function isRefused(error: unknown): boolean {
    return error instanceof Error && (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
}

function getReason(error: unknown): string {
    if (!(error instanceof Error)) {
        return "the connection failed";
    }
    const code = (error as NodeJS.ErrnoException).code;
    return code ? `${code}: ${error.message}` : error.message;
}
