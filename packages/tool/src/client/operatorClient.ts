import type { Clock, Milliseconds } from "@arbutusdoor/common";
import { Agent, type Dispatcher, request } from "undici";
import type { z } from "zod";
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
    /** Addresses of hosts, in the order in which they are asked. */
    readonly hosts: readonly string[];
    readonly token: string;
    /** Longest time in ms for one answer. */
    readonly timeoutMs: Milliseconds;
    readonly clock: Clock;
};

/** Calls the operators' port of one host or, where it helps, of the next. */
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

    /** Calls one host once. */
    async call(host: string, call: Call, timeoutMs = this.timeoutMs): Promise<CallReply | CallFailure> {
        const abortion = new AbortController();
        const timer = this.clock.schedule(timeoutMs, () => abortion.abort());
        try {
            const answer = await this.send(host, call, abortion.signal);
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

    /** Asks the hosts in turn until one answers; for calls that change nothing. */
    async read<Body>(
        call: Call,
        shape: z.ZodType<Body>,
        timeoutMs = this.timeoutMs,
    ): Promise<ReadOutcome<Body>> {
        const failures: CallFailure[] = [];
        let refusal: ReadOutcome<Body> | undefined;
        for (const host of this.hosts) {
            const outcome = await this.call(host, call, timeoutMs);
            if (outcome.kind !== "reply") {
                failures.push(outcome);
                continue;
            }
            const reading = readReply(outcome, shape);
            if (outcome.status < FIRST_SERVER_ERROR_STATUS) {
                return reading;
            }
            refusal ??= reading;
        }
        return refusal ?? { kind: "unreachable", failures };
    }

    /** Opens a stream of one host; the caller ends it by the signal. Rejects when the host cannot be reached. */
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

    /** Ends all connections. */
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
