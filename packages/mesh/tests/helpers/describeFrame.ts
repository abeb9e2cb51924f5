import { decodeFrame } from "../../src/protocol/decodeFrame.js";
import type { Message } from "../../src/protocol/message.js";

const OPENING_BRACE = 0x7b;

/** Describes each message of a frame in one line, except for heartbeats. */
export function describeFrame(bytes: Uint8Array): readonly string[] {
    if (bytes[0] === OPENING_BRACE) {
        return [describeHandshakeMessage(bytes)];
    }
    const frame = decodeFrame(bytes);
    if (frame.kind === "malformed") {
        return [`malformed (${frame.reason})`];
    }
    return frame.messages.filter(({ kind }) => kind !== "heartbeat").map(describeMessage);
}

function describeHandshakeMessage(bytes: Uint8Array): string {
    const message = JSON.parse(Buffer.from(bytes).toString()) as Record<string, unknown>;
    const shown = ["kind", "protocol", "serial", "lost", "reason"].filter(name =>
        message[name] !== undefined
    );
    return shown.map(name => name === "kind" ? message[name] : `${name}=${message[name]}`).join(" ");
}

function describeMessage(message: Message): string {
    switch (message.kind) {
        case "control":
            return `control ${JSON.stringify(message.payload)}`;
        case "request":
            return `request ${message.stream} ${message.request.id} ${message.request.path}`;
        case "answer":
            return `answer ${message.stream} ${message.id} ${message.status}`;
        case "refusal":
            return `refusal ${message.stream} ${message.id} ${message.refusal.reason}`;
        case "end":
            return `end ${message.stream} length=${message.length}`;
        case "data":
            return `data ${message.stream} ${message.bytes.length} bytes`;
        case "credit":
            return `credit ${message.stream} ${message.bytes} bytes`;
        case "ask":
            return `ask ${message.id} link=${message.link} stream=${message.stream}`;
        case "verdict":
            return `verdict ${message.id} ${message.verdict.kind}`;
        case "heartbeat":
            return "heartbeat";
        default:
            return `${message.kind} ${message.stream}`;
    }
}
