import type { Readable } from "node:stream";
import type { PeerIdentity } from "./identity/peerIdentity.js";
import type { RelayAnswer } from "./relay/relayAnswer.js";
import type { RelayRequest } from "./relay/relayRequest.js";

/** Handles the events and messages of an entry host's peers. */
export abstract class MeshHandler {
    /** Called when a link to a peer opens; the peer is listed until `onPeerDown`. */
    abstract onPeerUp(peer: PeerIdentity): void;

    /** Called when the link to a peer is lost, which does not mean that the peer has stopped. */
    abstract onPeerDown(peer: PeerIdentity): void;

    /** Handles a control message; its content is not validated. */
    abstract onControl(peer: PeerIdentity, message: unknown): void;

    /**
     * Runs a request relayed by a peer. Called at most once per request id.
     * @param body the caller's body; emits an error when it is truncated. The part left unread when the answer has ended is dropped.
     * @param signal aborted when the peer cancels or its link is lost
     * @returns the answer or a refusal. A refusal `notRun` guarantees that the request did not and will not run.
     */
    abstract onRelay(
        peer: PeerIdentity,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer>;
}
