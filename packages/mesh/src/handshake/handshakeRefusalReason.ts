import type { HandshakeMessage } from "./handshakeMessage.js";

/** Reason why a host refuses a link. */
export type HandshakeRefusalReason = Extract<HandshakeMessage, { kind: "refuse"; }>["reason"];
