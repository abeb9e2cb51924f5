import type { Clock } from "@arbutusdoor/common";
import { type Dispatcher, request } from "undici";
import type { Call } from "./call.js";
import type { CallerEntry } from "./callerEntry.js";
import type { CallerProtocol } from "./callerProtocol.js";
import { DaemonProtocol } from "./daemonProtocol.js";
import { isOwnAnswer } from "./isOwnAnswer.js";

const DAEMON_PROTOCOL = new DaemonProtocol();

/** Where and how an attempt is sent. */
type Attempt = {
    readonly entryHost: string;
    readonly attempt: number;
    readonly dispatcher: Dispatcher;
    readonly timeoutMs: number;
    /** The daemon's own interface when left out. */
    readonly protocol?: CallerProtocol;
    readonly clock: Clock;
};

/** Sends a call to an entry host, reads the whole answer and notes what the caller saw. Never rejects. */
export async function sendCall(call: Call, to: Attempt): Promise<CallerEntry> {
    const sentAt = to.clock.wallTime();
    const late = new AbortController();
    const timer = to.clock.schedule(to.timeoutMs, () => late.abort());
    const seen = await exchange(call, to, late.signal);
    timer.cancel();
    const { name, kind, path, headers } = call;
    return {
        name,
        attempt: to.attempt,
        kind,
        path,
        idempotencyKey: headers["idempotency-key"],
        entryHost: to.entryHost,
        sentAt,
        endedAt: to.clock.wallTime(),
        ...seen,
    };
}

async function exchange(
    call: Call,
    to: Attempt,
    signal: AbortSignal,
): Promise<Pick<CallerEntry, "outcome" | "status" | "reason" | "requestId" | "isOwn">> {
    const { protocol = DAEMON_PROTOCOL } = to;
    let answer: Dispatcher.ResponseData;
    try {
        const { method, path, body } = call;
        const headers = { ...call.headers, ...protocol.newHeaders(call, to.attempt, to.timeoutMs) };
        const url = `http://${to.entryHost}${path}`;
        answer = await request(url, { method, headers, body, signal, dispatcher: to.dispatcher });
    }
    catch (error) {
        return { outcome: "none", status: 0, reason: getCode(error), isOwn: false };
    }
    const { statusCode: status, headers } = answer;
    const { outcome, ...rest } = protocol.readHead(call, to.attempt, status, headers);
    const seen = { status, ...rest };
    try {
        const body = Buffer.from(await answer.body.arrayBuffer());
        return { outcome, ...seen, isOwn: outcome === "answered" && isOwnAnswer(call, headers, body) };
    }
    catch {
        return { outcome: "broken", ...seen, isOwn: false };
    }
}

function getCode(error: unknown): string {
    const { code, name } = error as NodeJS.ErrnoException;
    return String(code ?? name);
}
