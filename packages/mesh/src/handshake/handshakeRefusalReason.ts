import type { HandshakeMessage } from "./handshakeMessage.js";

/** Why a host does not open a link. */
export type HandshakeRefusalReason = Extract<HandshakeMessage, { kind: "refuse"; }>["reason"];
