import type { Clock, HeaderFields, Milliseconds } from "@arbutusdoor/common";
import { discardBody } from "../http/discardBody.js";
import { getEndToEndHeaders } from "../http/getEndToEndHeaders.js";
import { HttpExchange } from "../http/httpExchange.js";
import type { HttpOutcome } from "../http/httpOutcome.js";
import { HttpPools } from "../http/httpPools.js";
import type { BackendAnswer } from "./backendAnswer.js";
import type { BackendRequest } from "./backendRequest.js";
import { BackendTraffic } from "./backendTraffic.js";
import type { BackendTrafficSettings } from "./backendTrafficSettings.js";

const REFUSED_STATUS = 503;
const REFUSAL_HEADER = "arbutusdoor-not-run";
const REQUEST_ID_HEADER = "arbutusdoor-request-id";
const RESERVED_FIELDS = new Set([
    REQUEST_ID_HEADER,
    "arbutusdoor-slice",
    "arbutusdoor-generation",
    "arbutusdoor-deadline-ms",
    "arbutusdoor-host",
]);
const REFUSAL_BODY_TIMEOUT_MS = 1_000;

/**
 * Sends requests to backend servers over HTTP. Path, method, header fields and body are the caller's; these fields are added:
 *
 * - `arbutusdoor-request-id`: the id of the request;
 * - `arbutusdoor-slice` (`service/slice`) and `arbutusdoor-generation` (the fencing token), for a keyed request;
 * - `arbutusdoor-deadline-ms`: the time left until the caller's deadline;
 * - `arbutusdoor-host`: the entry host that sends.
 *
 * A server that did not run a request answers with status 503 and `arbutusdoor-not-run: shed`, `stale` or `leaving`.
 * An answer that does not state where its body ends counts as lost, because a truncated one cannot be detected. So does an answer that
 * repeats the id of another request. A server need not repeat the id, so a connection that has given a refusal carries no further request:
 * a second copy of the refusal would be taken for that of the next one.
 */
export class HttpBackendTraffic extends BackendTraffic {
    private readonly clock: Clock;
    private readonly settings: BackendTrafficSettings;
    private readonly pools: HttpPools;
    /** Number of requests to each address that wait for the head of an answer. */
    private readonly waiting = new Map<string, number>();

    constructor(options: { readonly clock: Clock; readonly settings: BackendTrafficSettings; }) {
        super();
        this.clock = options.clock;
        this.settings = options.settings;
        this.pools = new HttpPools(options.settings);
    }

    override async send(request: BackendRequest): Promise<BackendAnswer> {
        const { address } = request;
        const waiting = this.waiting.get(address) ?? 0;
        if (waiting >= this.settings.waitingLimit) {
            return { kind: "notRun", cause: "unreachable", detail: "too many requests wait for this server" };
        }
        this.waiting.set(address, waiting + 1);
        const outcome = await this.exchange(request);
        this.decrementWaiting(address);
        return this.getAnswer(outcome);
    }

    override limitConnections(address: string, connections: number): void {
        this.pools.limitConnections(address, connections);
    }

    /** Returns the number of open connections to each server address. */
    countConnections(): ReadonlyMap<string, number> {
        return this.pools.countConnections();
    }

    override async close(): Promise<void> {
        await this.pools.close();
    }

    private exchange(request: BackendRequest): Promise<HttpOutcome> {
        const { method, path, body, deadline, signal } = request;
        const headers = this.getRequestHeaders(request);
        const pool = this.pools.get(request.address);
        return HttpExchange.send(
            pool,
            {
                method,
                path,
                headers,
                body,
                headTimeout: deadline,
                signal,
                isMatchingAnswer: (_, { [REQUEST_ID_HEADER]: id }) => id === undefined || id === request.id,
                isLastAnswer: (status, answerHeaders) => isRefusal(status, answerHeaders),
            },
            this.clock,
        );
    }

    private decrementWaiting(address: string): void {
        const waiting = this.waiting.get(address) ?? 0;
        if (waiting > 1) {
            this.waiting.set(address, waiting - 1);
        }
        else {
            this.waiting.delete(address);
        }
    }

    private getRequestHeaders(request: BackendRequest): HeaderFields {
        const headers = getEndToEndHeaders(request.headers, RESERVED_FIELDS);
        headers[REQUEST_ID_HEADER] = request.id;
        headers["arbutusdoor-deadline-ms"] = toWholeMilliseconds(request.deadline);
        headers["arbutusdoor-host"] = this.settings.host;
        if (request.slice) {
            headers["arbutusdoor-slice"] = `${request.slice.service}/${request.slice.slice}`;
            headers["arbutusdoor-generation"] = String(request.slice.generation);
        }
        return headers;
    }

    private getAnswer(outcome: HttpOutcome): BackendAnswer {
        if (outcome.kind === "notSent") {
            const cause = outcome.isCancelled ? "cancelled" : "unreachable";
            return { kind: "notRun", cause, detail: outcome.reason };
        }
        if (outcome.kind === "lost") {
            const cause = outcome.isCancelled ? "cancelled" : "connectionLost";
            return { kind: "unknown", cause, detail: outcome.reason };
        }
        const refusal = outcome.status === REFUSED_STATUS ? outcome.headers[REFUSAL_HEADER] : undefined;
        if (refusal === "shed" || refusal === "stale" || refusal === "leaving") {
            discardBody(outcome.body, this.clock, REFUSAL_BODY_TIMEOUT_MS);
            return {
                kind: "notRun",
                cause: refusal,
                detail: "the server says that it did not run the request",
            };
        }
        return { kind: "answered", status: outcome.status, headers: outcome.headers, body: outcome.body };
    }
}

function isRefusal(status: number, headers: HeaderFields): boolean {
    return status === REFUSED_STATUS && headers[REFUSAL_HEADER] !== undefined;
}

function toWholeMilliseconds(duration: Milliseconds): string {
    return String(Math.max(0, Math.floor(duration)));
}
