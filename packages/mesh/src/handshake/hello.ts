import type { HandshakeMessage } from "./handshakeMessage.js";

/** What a host says of itself at the beginning of a link. */
export type Hello = Omit<Extract<HandshakeMessage, { kind: "hello"; }>, "kind">;
