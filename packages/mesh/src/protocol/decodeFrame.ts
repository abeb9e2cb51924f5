import { Unpackr } from "msgpackr";
import type { Message } from "./message.js";
import { readMessage } from "./readMessage.js";

/** The messages of a frame, or why it is malformed. */
type DecodedFrame =
    | { readonly kind: "messages"; readonly messages: readonly Message[]; }
    | { readonly kind: "malformed"; readonly reason: string; };

const unpackr = new Unpackr({ useRecords: false });

/** Decodes a frame. Never throws: a frame with one invalid message is malformed as a whole. */
export function decodeFrame(bytes: Uint8Array): DecodedFrame {
    let values: unknown[];
    try {
        values = unpackr.unpackMultiple(bytes);
    }
    catch {
        return { kind: "malformed", reason: "not MessagePack" };
    }
    const messages: Message[] = [];
    for (const value of values) {
        const message = readMessage(value);
        if (!message) {
            return { kind: "malformed", reason: "not a message of this protocol version" };
        }
        messages.push(message);
    }
    return { kind: "messages", messages };
}
