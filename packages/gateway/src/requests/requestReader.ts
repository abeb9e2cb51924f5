import type { HeaderFields } from "@arbutusdoor/common";
import type { IncomingMessage } from "node:http";
import type { RouteTable } from "../configuration/routeTable.js";
import type { TargetRotation } from "../configuration/targetRotation.js";
import type { CallerHeaderCodec } from "./callerHeaderCodec.js";
import type { GatewayReply } from "./gatewayReply.js";
import type { GatewayRequest } from "./gatewayRequest.js";
import { readGatewayBody } from "./readGatewayBody.js";

const DEFAULT_TIMEOUT_MS = 30_000;
const RETRY_AFTER_MS = 300;
const HEADER_SEPARATOR_BYTES = 4;

/** Dependencies of the reader. */
type ReaderParts = {
    readonly dialect: CallerHeaderCodec;
    readonly rotation: TargetRotation;
    readonly getRoutes: () => RouteTable | undefined;
};

/** A request that can be routed, or the reply to one that cannot. */
type ParsedRequest =
    | { readonly kind: "request"; readonly request: GatewayRequest; }
    | { readonly kind: "reply"; readonly reply: GatewayReply; };

/** Reads callers' requests: checks them against the limits, matches their routes and reads their bodies. */
export class RequestReader {
    private readonly parts: ReaderParts;

    constructor(parts: ReaderParts) {
        this.parts = parts;
    }

    /** Reads a request, whose deadline counts from `arrivedAt`. */
    async read(message: IncomingMessage, arrivedAt: number, callerGone: AbortSignal): Promise<ParsedRequest> {
        const { dialect, getRoutes, rotation } = this.parts;
        const routes = getRoutes();
        if (!routes) {
            return refuse(503, "noConfiguration", RETRY_AFTER_MS);
        }
        const { limits } = routes.configuration;
        if (getHeaderBytes(message) > limits.headerBytes) {
            return refuse(431, "headersTooLarge");
        }
        const path = message.url ?? "/";
        const route = routes.match(message.headers.host ?? "", path.split("?", 1)[0]!);
        if (!route) {
            return refuse(404, "noRoute");
        }
        const headers = message.headers as HeaderFields;
        const { id, key, timeoutMs } = dialect.readRequestHeaders(headers);
        if (!id) {
            return refuse(400, "noRequestId");
        }
        const body = await readGatewayBody(message, limits.bodyBytes);
        if (body.kind !== "body") {
            return body.kind === "tooLarge"
                ? refuse(413, "bodyTooLarge")
                : { kind: "reply", reply: { kind: "gone" } };
        }
        const target = rotation.next(route);
        const service = target === undefined ? undefined : routes.getService(target);
        if (!service) {
            return refuse(503, "noService", RETRY_AFTER_MS);
        }
        const deadlineAt = arrivedAt + Math.min(timeoutMs ?? DEFAULT_TIMEOUT_MS, route.timeoutMs);
        const method = message.method ?? "GET";
        return {
            kind: "request",
            request: {
                id,
                configurationVersion: routes.configuration.version,
                route,
                service,
                key,
                method,
                path,
                headers,
                body: body.body,
                arrivedAt,
                callerTimeoutMs: timeoutMs,
                deadlineAt,
                callerGone,
            },
        };
    }
}

function refuse(status: number, reason: string, retryAfterMs?: number): ParsedRequest {
    return { kind: "reply", reply: { kind: "refusal", status, reason, retryAfterMs } };
}

function getHeaderBytes(message: IncomingMessage): number {
    const { rawHeaders } = message;
    return rawHeaders.reduce((total, text) => total + text.length, 0)
        + rawHeaders.length / 2 * HEADER_SEPARATOR_BYTES;
}
