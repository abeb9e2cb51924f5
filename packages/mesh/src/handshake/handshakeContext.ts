import type { HandshakeRefusalReason } from "./handshakeRefusalReason.js";
import type { Hello } from "./hello.js";

/** What a handshake needs from its own host. */
export abstract class HandshakeContext {
    /** Creates the hello of this host for one connection, with a new nonce and serial. */
    abstract createHello(): Hello;

    /** Returns why no link may open with the peer, or `undefined` when it may. Called only on the host with the lower name. */
    abstract checkLink(hello: Hello, lost: number): HandshakeRefusalReason | undefined;

    /** Returns the peer's serial of the last link with it that was open here and was lost; 0 for none. */
    abstract getLostSerial(hello: Hello): number;
}
