import type { Hello } from "./hello.js";

/** Returns the hello part of a handshake message. */
export function extractHello(message: Hello): Hello {
    const { protocol, cluster, identity, startedAt, serial, nonce } = message;
    return { protocol, cluster, identity, startedAt, serial, nonce };
}
