import type { HandshakeRefusalReason } from "./handshakeRefusalReason.js";
import type { Hello } from "./hello.js";

/** Result of a handshake. Unless it is `open`, the connection is closed. */
export type HandshakeResult =
    | { readonly kind: "open"; readonly hello: Hello; readonly serial: number; }
    | {
        readonly kind: "refused";
        readonly reason: HandshakeRefusalReason;
        /** Whether the peer refused. */
        readonly isByPeer: boolean;
        readonly hello: Hello | undefined;
    }
    | { readonly kind: "malformed"; }
    | { readonly kind: "lost"; };
