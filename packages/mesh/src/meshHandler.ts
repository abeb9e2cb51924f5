import type { Readable } from "node:stream";
import type { PeerIdentity } from "./identity/peerIdentity.js";
import type { RelayAnswer } from "./relay/relayAnswer.js";
import type { RelayRequest } from "./relay/relayRequest.js";

/** What an entry host does with what its peers send. */
export abstract class MeshHandler {
    /** A link to a peer came up; until `onPeerDown` the peer is listed. */
    abstract onPeerUp(peer: PeerIdentity): void;

    /** The link to a peer is gone. Says nothing about whether the peer runs. */
    abstract onPeerDown(peer: PeerIdentity): void;

    /** A control message arrived; its content is unchecked. */
    abstract onControl(peer: PeerIdentity, message: unknown): void;

    /**
     * Runs a request that a peer handed over. Called at most once for a request id.
     * @param body the caller's body; errors when it breaks off. What is left unread when the answer has ended is dropped.
     * @param signal aborted when the peer cancels or its link is lost
     * @returns the answer or a refusal. A refusal `notRun` is a promise that the request did not and will not run.
     */
    abstract onRelay(
        peer: PeerIdentity,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer>;
}
