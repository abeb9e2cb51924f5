import * as z from "zod";
import { PROTOCOL_VERSION } from "../protocol/protocolVersion.js";
import { HandshakeMessage } from "./handshakeMessage.js";

/** A decoded handshake frame: a message, one of another protocol version, or neither. */
type HandshakeRead =
    | { readonly kind: "greeting"; readonly greeting: HandshakeMessage; }
    | { readonly kind: "otherVersion"; readonly protocol: number; }
    | { readonly kind: "malformed"; };

const Versioned = z.object({ protocol: z.int() });

/** Decodes a handshake frame. Never throws. */
export function readHandshakeMessage(bytes: Uint8Array): HandshakeRead {
    const value = parseJson(bytes);
    const versioned = Versioned.safeParse(value);
    if (versioned.success && versioned.data.protocol !== PROTOCOL_VERSION) {
        return { kind: "otherVersion", protocol: versioned.data.protocol };
    }
    const greeting = HandshakeMessage.safeParse(value);
    return greeting.success ? { kind: "greeting", greeting: greeting.data } : { kind: "malformed" };
}

function parseJson(bytes: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(bytes).toString("utf8"));
    }
    catch {
        return undefined;
    }
}
