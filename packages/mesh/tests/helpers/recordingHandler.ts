import type { Readable } from "node:stream";
import type { PeerIdentity } from "../../src/identity/peerIdentity.js";
import { MeshHandler } from "../../src/meshHandler.js";
import type { RelayAnswer } from "../../src/relay/relayAnswer.js";
import type { RelayRequest } from "../../src/relay/relayRequest.js";

/** How a test answers a request. */
type Answerer = (
    request: RelayRequest,
    body: Readable | undefined,
    signal: AbortSignal,
) => Promise<RelayAnswer>;

/** Records the events at a host and answers as the test defines. */
export class RecordingHandler extends MeshHandler {
    answer: Answerer;
    private readonly record: (line: string) => void;

    constructor(record: (line: string) => void, answer: Answerer) {
        super();
        this.record = record;
        this.answer = answer;
    }

    override onPeerUp(peer: PeerIdentity): void {
        this.record(`peer up ${peer.incarnation}`);
    }

    override onPeerDown(peer: PeerIdentity): void {
        this.record(`peer down ${peer.incarnation}`);
    }

    override onControl(peer: PeerIdentity, message: unknown): void {
        this.record(`control from ${peer.host}: ${JSON.stringify(message)}`);
    }

    override onRelay(
        _peer: PeerIdentity,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer> {
        this.record(`runs ${request.id}`);
        signal.addEventListener("abort", () => this.record(`cancelled ${request.id}`));
        return this.answer(request, body, signal);
    }
}
