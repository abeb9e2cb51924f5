import type { HandshakeRefusalReason } from "./handshakeRefusalReason.js";
import type { Hello } from "./hello.js";

/** What a greeting needs to know of its own host. */
export abstract class HandshakeContext {
    /** A hello of this host for one connection, with a fresh nonce and serial. */
    abstract createHello(): Hello;

    /** Why no link may open with the peer, judged by the host with the lower name; `undefined` when it may. */
    abstract checkLink(hello: Hello, lost: number): HandshakeRefusalReason | undefined;

    /** The peer's serial of the last link with it that was open here and is lost now; 0 for none. */
    abstract getLostSerial(hello: Hello): number;
}
