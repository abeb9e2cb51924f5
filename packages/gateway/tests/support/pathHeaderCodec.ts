import type { RequestId } from "@arbutusdoor/common";
import { CallerHeaderCodec } from "../../src/requests/callerHeaderCodec.js";

const TIMEOUT_MS = 2_000;

/** Reads the id and the timeout of a request from `X-Id` and `X-Timeout`. */
export class PathHeaderCodec extends CallerHeaderCodec {
    override readRequestHeaders(headers: Readonly<Record<string, string | readonly string[] | undefined>>) {
        const timeoutMs = Number(headers["x-timeout"] ?? TIMEOUT_MS);
        return { id: String(headers["x-id"]) as RequestId, timeoutMs, key: undefined };
    }

    override createRetryHeaders(): Record<string, string> {
        return {};
    }
}
