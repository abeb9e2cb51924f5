import {
    createRefusal,
    type Refusal,
    REFUSAL_REASONS,
    type RefusalReason,
    type RequestId,
} from "@arbutusdoor/common";
import { isCount } from "./checks/isCount.js";
import { isHeaderFields } from "./checks/isHeaderFields.js";
import { isPositiveInteger } from "./checks/isPositiveInteger.js";
import { isText } from "./checks/isText.js";
import type { Message } from "./message.js";
import { MESSAGE_CODES } from "./messageCode.js";
import { readRequest } from "./readRequest.js";

type FieldReader = (fields: readonly unknown[]) => Message | undefined;

const MIN_STATUS = 100;
const MAX_STATUS = 999;

const READERS: ReadonlyMap<unknown, FieldReader> = new Map<unknown, FieldReader>([
    [MESSAGE_CODES.heartbeat, fields => fields.length === 1 ? { kind: "heartbeat" } : undefined],
    [MESSAGE_CODES.control, ([, payload]) => ({ kind: "control", payload })],
    [MESSAGE_CODES.request, readRequestMessage],
    [MESSAGE_CODES.answer, readAnswer],
    [MESSAGE_CODES.refusal, readRefusalMessage],
    [MESSAGE_CODES.data, readData],
    [MESSAGE_CODES.end, readEnd],
    [MESSAGE_CODES.broken, fields => readStreamMessage("broken", fields)],
    [MESSAGE_CODES.credit, readCredit],
    [MESSAGE_CODES.cancel, fields => readStreamMessage("cancel", fields)],
    [MESSAGE_CODES.unwanted, fields => readStreamMessage("unwanted", fields)],
    [MESSAGE_CODES.ask, readAsk],
    [MESSAGE_CODES.verdict, readVerdict],
]);

/** Converts a decoded value to a message. Returns `undefined` when it is not a valid message. */
export function readMessage(value: unknown): Message | undefined {
    if (!Array.isArray(value)) {
        return undefined;
    }
    const fields: readonly unknown[] = value;
    return READERS.get(fields[0])?.(fields);
}

function readStreamMessage(
    kind: "broken" | "cancel" | "unwanted",
    [, stream]: readonly unknown[],
): Message | undefined {
    return isPositiveInteger(stream) ? { kind, stream } : undefined;
}

function readRequestMessage([, stream, ...fields]: readonly unknown[]): Message | undefined {
    const request = readRequest(fields);
    return isPositiveInteger(stream) && request ? { kind: "request", stream, request } : undefined;
}

function readAnswer([, stream, id, status, headers]: readonly unknown[]): Message | undefined {
    const isStatus = isPositiveInteger(status) && status >= MIN_STATUS && status <= MAX_STATUS;
    if (!isPositiveInteger(stream) || !isText(id) || !isStatus || !isHeaderFields(headers)) {
        return undefined;
    }
    return { kind: "answer", stream, id: id as RequestId, status, headers };
}

function readRefusalMessage([, stream, id, reason, detail]: readonly unknown[]): Message | undefined {
    const refusal = readRefusal(reason, detail);
    if (!isPositiveInteger(stream) || !isText(id) || !refusal) {
        return undefined;
    }
    return { kind: "refusal", stream, id: id as RequestId, refusal };
}

function readData([, stream, offset, bytes]: readonly unknown[]): Message | undefined {
    if (!isPositiveInteger(stream) || !isCount(offset) || !(bytes instanceof Uint8Array)) {
        return undefined;
    }
    return { kind: "data", stream, offset, bytes };
}

function readEnd([, stream, length]: readonly unknown[]): Message | undefined {
    return isPositiveInteger(stream) && isCount(length) ? { kind: "end", stream, length } : undefined;
}

function readCredit([, stream, bytes]: readonly unknown[]): Message | undefined {
    return isPositiveInteger(stream) && isPositiveInteger(bytes)
        ? { kind: "credit", stream, bytes }
        : undefined;
}

function readAsk([, id, link, stream]: readonly unknown[]): Message | undefined {
    if (!isText(id) || !isPositiveInteger(link) || !isPositiveInteger(stream)) {
        return undefined;
    }
    return { kind: "ask", id: id as RequestId, link, stream };
}

function readVerdict([, id, kind, reason, detail]: readonly unknown[]): Message | undefined {
    if (!isText(id)) {
        return undefined;
    }
    if (kind === "notReceived" || kind === "received") {
        return { kind: "verdict", id: id as RequestId, verdict: { kind } };
    }
    const refusal = readRefusal(reason, detail);
    if (kind !== "refused" || !refusal) {
        return undefined;
    }
    return { kind: "verdict", id: id as RequestId, verdict: { kind, refusal } };
}

function readRefusal(reason: unknown, detail: unknown): Refusal | undefined {
    if (!isText(reason) || !isText(detail) || !Object.hasOwn(REFUSAL_REASONS, reason)) {
        return undefined;
    }
    return createRefusal(reason as RefusalReason, detail);
}
