import type { CallFailure } from "./callFailure.js";

const NOT_SENT_REASONS: Readonly<Record<string, string>> = {
    ECONNREFUSED: "nothing listens there",
    EHOSTUNREACH: "no route to it",
    ENETUNREACH: "no route to it",
    ENOTFOUND: "its name is not known",
    EAI_AGAIN: "its name is not known",
    EADDRNOTAVAIL: "no local address for it",
    UND_ERR_CONNECT_TIMEOUT: "it took no connection in time",
};

const LOST_REASONS: Readonly<Record<string, string>> = {
    ECONNRESET: "it closed the connection",
    EPIPE: "it closed the connection",
    UND_ERR_SOCKET: "it closed the connection",
    UND_ERR_RES_EXCEEDED_MAX_SIZE: "its answer is too large",
};

/** Describes why a call failed and whether it may have reached the host. */
export function getFailure(host: string, error: unknown, timeoutMs: number): CallFailure {
    const { code = "", name = "" } = error as { code?: string; name?: string; };
    const notSent = NOT_SENT_REASONS[code];
    if (notSent) {
        return { kind: "notSent", host, reason: notSent };
    }
    if (name === "AbortError") {
        return { kind: "lost", host, reason: `no answer within ${timeoutMs} ms` };
    }
    return { kind: "lost", host, reason: LOST_REASONS[code] ?? `the call failed (${code || name})` };
}
