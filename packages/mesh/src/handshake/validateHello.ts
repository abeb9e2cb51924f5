import type { HandshakeRefusalReason } from "./handshakeRefusalReason.js";
import type { Hello } from "./hello.js";

/** Why a host does not go on with a peer, from their hellos alone; `undefined` when it does. */
export function validateHello(own: Hello, peer: Hello): HandshakeRefusalReason | undefined {
    if (peer.cluster !== own.cluster) {
        return "cluster";
    }
    return peer.identity.host === own.identity.host ? "sameHost" : undefined;
}
