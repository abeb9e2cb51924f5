import type { HandshakeMessage } from "./handshakeMessage.js";

/** How a host introduces itself at the start of a handshake. */
export type Hello = Omit<Extract<HandshakeMessage, { kind: "hello"; }>, "kind">;
