import type { Clock, Milliseconds } from "@arbutusdoor/common";
import { Agent, type Dispatcher, request } from "undici";
import type * as z from "zod";
import type { Call } from "./call.js";
import type { CallFailure } from "./callFailure.js";
import type { CallReply } from "./callReply.js";
import { getFailure } from "./getFailure.js";
import { getReason } from "./getReason.js";
import { getUrl } from "./getUrl.js";
import type { ReadOutcome } from "./readOutcome.js";

const MAX_CONNECT_MS = 3_000;
const MAX_ANSWER_BYTES = 67_108_864;
const FIRST_ERROR_STATUS = 400;
const FIRST_SERVER_ERROR_STATUS = 500;

type OperatorClientOptions = {
    /** Addresses of hosts, in the order in which they are called. */
    readonly hosts: readonly string[];
    readonly token: string;
    /** Longest wait for one answer, in ms. */
    readonly timeoutMs: Milliseconds;
    readonly clock: Clock;
};

/** Calls the operators' port of a host. Reads fail over to the next host. */
export class OperatorClient {
    readonly hosts: readonly string[];
    readonly timeoutMs: Milliseconds;
    private readonly token: string;
    private readonly clock: Clock;
    private readonly agent: Agent;

    constructor({ hosts, token, timeoutMs, clock }: OperatorClientOptions) {
        this.hosts = hosts;
        this.timeoutMs = timeoutMs;
        this.token = token;
        this.clock = clock;
        this.agent = new Agent({
            connect: { timeout: Math.min(timeoutMs, MAX_CONNECT_MS) },
            maxResponseSize: MAX_ANSWER_BYTES,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Calls one host, without retries. */
    async call(host: string, call: Call, timeoutMs = this.timeoutMs): Promise<CallReply | CallFailure> {
        const abortController = new AbortController();
        const timer = this.clock.schedule(timeoutMs, () => abortController.abort());
        try {
            const answer = await this.send(host, call, abortController.signal);
            const text = await answer.body.text();
            return { kind: "reply", host, status: answer.statusCode, json: JSON.parse(text) };
        }
        catch (error) {
            if (error instanceof SyntaxError) {
                return { kind: "lost", host, reason: "its answer is not JSON; is this the operators' port?" };
            }
            return getFailure(host, error, timeoutMs);
        }
        finally {
            timer.cancel();
        }
    }

    /**
     * Calls the hosts in turn until one answers with a status below 500; otherwise returns the first refusal. Only for calls
     * that change nothing.
     */
    async read<Body>(
        call: Call,
        shape: z.ZodType<Body>,
        timeoutMs = this.timeoutMs,
    ): Promise<ReadOutcome<Body>> {
        const failures: CallFailure[] = [];
        let refusal: ReadOutcome<Body> | undefined;
        for (const host of this.hosts) {
            const reply = await this.call(host, call, timeoutMs);
            if (reply.kind !== "reply") {
                failures.push(reply);
                continue;
            }
            const outcome = readReply(reply, shape);
            if (reply.status < FIRST_SERVER_ERROR_STATUS) {
                return outcome;
            }
            refusal ??= outcome;
        }
        return refusal ?? { kind: "unreachable", failures };
    }

    /** Sends a call to one host and returns the answer with its body as a stream, which `signal` aborts. Rejects when the call fails. */
    send(host: string, { method, path, body }: Call, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
        const headers: Record<string, string> = { authorization: `Bearer ${this.token}` };
        if (body) {
            headers["content-type"] = "application/json";
        }
        return request(getUrl(host) + path, {
            method,
            headers,
            body: body && JSON.stringify(body),
            signal,
            dispatcher: this.agent,
        });
    }

    /** Closes all connections. */
    close(): Promise<void> {
        return this.agent.destroy();
    }
}

function readReply<Body>({ host, status, json }: CallReply, shape: z.ZodType<Body>): ReadOutcome<Body> {
    if (status >= FIRST_ERROR_STATUS) {
        return { kind: "refused", host, json, reason: getReason(status, json) };
    }
    const parsed = shape.safeParse(json);
    if (!parsed.success) {
        const reason = "its answer cannot be read by this release of the tool";
        return { kind: "refused", host, json, reason };
    }
    return { kind: "answer", host, body: parsed.data };
}
