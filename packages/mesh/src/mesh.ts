import { type HostId, newRefusal } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import type { PeerIdentity } from "./identity/peerIdentity.js";
import type { MeshOptions } from "./meshOptions.js";
import type { RelayAnswer } from "./relay/relayAnswer.js";
import type { RelayRequest } from "./relay/relayRequest.js";

/** The links of one entry host to the others, and the requests relayed over them. */
export class Mesh {
    private readonly options: MeshOptions;

    constructor(options: MeshOptions) {
        this.options = options;
    }

    /** Takes and dials links. Resolves to the bound address; rejects when it cannot be bound. */
    async start(): Promise<string> {
        return this.options.self.address;
    }

    /** Peers to which a link is up. */
    listPeers(): readonly PeerIdentity[] {
        return [];
    }

    /** Adds addresses to dial; those known already are left as they are. */
    addSeeds(addresses: readonly string[]): void {
        void addresses;
    }

    /** Queues a control message. False when there is no link, its queue is full or the message is too large. */
    send(host: HostId, message: unknown): boolean {
        void [host, message];
        return false;
    }

    /** Queues a control message to every peer; returns how many links took it. */
    broadcast(message: unknown): number {
        void message;
        return 0;
    }

    /** Hands a request to a peer. Never rejects. */
    async relay(
        host: HostId,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer> {
        void [host, request, body, signal];
        return { kind: "refusal", refusal: newRefusal("relayUnreachable", "no link to the entry host") };
    }

    /** Refuses relayed requests from now on as not run; those under way go on. */
    stopAccepting(): void {}

    /** Waits for requests under way, up to `closeTimeoutMs`, then closes all links. */
    async close(): Promise<void> {}
}
