import type { Refusal } from "@arbutusdoor/common";
import { Packr } from "msgpackr";
import type { RelayRequest } from "../relay/relayRequest.js";
import type { DeliveryStatus } from "./deliveryStatus.js";
import type { Message } from "./message.js";
import { MESSAGE_CODES } from "./messageCode.js";

const packr = new Packr({ useRecords: false });

/** Encodes a message as MessagePack: an array that begins with the message's code. A frame is a sequence of messages. */
export function encodeMessage(message: Message): Uint8Array {
    return packr.pack([MESSAGE_CODES[message.kind], ...listFields(message)]);
}

function listFields(message: Message): readonly unknown[] {
    switch (message.kind) {
        case "heartbeat":
            return [];
        case "control":
            return [message.payload];
        case "request":
            return [message.stream, ...listRequestFields(message.request)];
        case "answer":
            return [message.stream, message.id, message.status, message.headers];
        case "refusal":
            return [message.stream, message.id, ...listRefusalFields(message.refusal)];
        case "data":
            return [message.stream, message.offset, message.bytes];
        case "end":
            return [message.stream, message.length];
        case "credit":
            return [message.stream, message.bytes];
        case "broken":
        case "cancel":
        case "unwanted":
            return [message.stream];
        case "ask":
            return [message.id, message.link, message.stream];
        case "verdict":
            return [message.id, message.verdict.kind, ...listVerdictFields(message.verdict)];
    }
}

function listRequestFields(request: RelayRequest): readonly unknown[] {
    const { id, service, key, classId, method, path, headers, deadline, server, slice, hasBody } = request;
    return [id, service, key, classId, method, path, headers, deadline, server, slice, hasBody];
}

function listRefusalFields(refusal: Refusal): readonly unknown[] {
    return [refusal.reason, refusal.detail];
}

function listVerdictFields(verdict: DeliveryStatus): readonly unknown[] {
    return verdict.kind === "refused" ? listRefusalFields(verdict.refusal) : [];
}
