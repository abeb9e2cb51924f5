import { CallerProtocol } from "./callerProtocol.js";

type Outcome = "answered" | "notRun" | "unknown";

const OUTCOMES: Readonly<Record<string, Outcome>> = {
    "answered": "answered",
    "not-run": "notRun",
    "unknown": "unknown",
};

/** The daemon's own callers' interface. */
export class DaemonProtocol extends CallerProtocol {
    override newHeaders(): Readonly<Record<string, string>> {
        return {};
    }

    override readHead(...[, , , headers]: Parameters<CallerProtocol["readHead"]>) {
        return {
            outcome: OUTCOMES[String(headers["arbutusdoor-outcome"])] ?? "none" as const,
            reason: getText(headers["arbutusdoor-reason"]),
            requestId: getText(headers["arbutusdoor-request-id"]),
        };
    }
}

function getText(header: string | string[] | undefined): string | undefined {
    return Array.isArray(header) ? header.join(", ") : header;
}
