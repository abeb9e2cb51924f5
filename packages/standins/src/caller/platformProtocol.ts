import type { Call } from "./call.js";
import { CallerProtocol } from "./callerProtocol.js";

const KEYS = 65_536;
/** Spreads the few keys of a load over the whole range. */
const KEY_STEP = 3_301;
const FIRST_FAILURE = 500;
/** Statuses by which a host says that no server has run the request. */
const NOT_RUN = new Set([408, 421, 429, 503]);

/** The callers' interface on the platform: only a server's answer is signed, and a host's refusal is known by its status. */
export class PlatformProtocol extends CallerProtocol {
    private readonly authority: string;

    /** @param authority host name of all routes */
    constructor(authority: string) {
        super();
        this.authority = authority;
    }

    override newHeaders(call: Call, attempt: number, timeoutMs: number): Readonly<Record<string, string>> {
        return {
            "host": this.authority,
            "x-request-id": getId(call, attempt),
            "x-deadline-ms": String(timeoutMs),
            "x-shard-key": String(getKey(call)),
        };
    }

    override readHead(...[call, attempt, status, headers]: Parameters<CallerProtocol["readHead"]>) {
        const isSigned = headers["x-response-signature"] !== undefined;
        // A server's own failure is no echo that could show whose it is, so it has to repeat the request's id.
        const isOwnFailure = status >= FIRST_FAILURE && headers["x-request-id"] === getId(call, attempt);
        const outcome = isSigned && isOwnFailure
            ? "unknown"
            : isSigned
            ? "answered"
            : NOT_RUN.has(status)
            ? "notRun"
            : "unknown";
        return { outcome, reason: undefined, requestId: getId(call, attempt) } as const;
    }
}

function getId({ name }: Call, attempt: number): string {
    return `${name}-${attempt}`;
}

function getKey({ path }: Call): number {
    return Number(/\/key-(\d+)\//.exec(path)?.[1] ?? 0) * KEY_STEP % KEYS;
}
