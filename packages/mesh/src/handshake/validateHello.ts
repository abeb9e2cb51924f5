import type { HandshakeRefusalReason } from "./handshakeRefusalReason.js";
import type { Hello } from "./hello.js";

/** Returns why a peer is refused based on the two hellos alone, or `undefined` when the handshake continues. */
export function validateHello(own: Hello, peer: Hello): HandshakeRefusalReason | undefined {
    if (peer.cluster !== own.cluster) {
        return "cluster";
    }
    return peer.identity.host === own.identity.host ? "sameHost" : undefined;
}
