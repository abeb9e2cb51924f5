import {
    type Clock,
    createRefusal,
    type HostIncarnation,
    type Logger,
    type Metrics,
    type RefusalReason,
    type RequestId,
} from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import type { Link } from "../link/link.js";
import type { RateLimiter } from "../link/rateLimiter.js";
import type { Message } from "../protocol/message.js";
import type { MeshSettings } from "../settings/meshSettings.js";
import { OutgoingRelay } from "./outgoingRelay.js";
import type { RelayAnswer } from "./relayAnswer.js";
import type { RelayRequest } from "./relayRequest.js";

type RelayClientOptions = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly settings: MeshSettings;
    readonly unmatchedLogLimit: RateLimiter;
};

/** Messages that belong to a request relayed by this host. */
type OutgoingMessage = Extract<
    Message,
    { kind: "answer" | "refusal" | "data" | "end" | "broken" | "credit" | "unwanted" | "verdict"; }
>;

/** Relays requests to peers and matches their answers to the requests. */
export class RelayClient {
    private readonly options: RelayClientOptions;
    private readonly relays = new Map<RequestId, OutgoingRelay>();

    constructor(options: RelayClientOptions) {
        this.options = options;
    }

    /** Number of relayed requests that have not ended. */
    get size(): number {
        return this.relays.size;
    }

    /** Relays a request over a link. Never rejects. */
    async relay(
        link: Link | undefined,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer> {
        const reason = this.getRefusalReason(link, request, signal);
        const answer = reason || !link
            ? refuse(reason ?? "relayUnreachable")
            : await this.start(link, { ...request, hasBody: body !== undefined }, body, signal);
        const outcome = answer.kind === "answered" ? "answered" : answer.refusal.reason;
        this.options.metrics.count("arbutusdoor_mesh_relays_total", { outcome });
        return answer;
    }

    /** Handles a message from a peer. Returns false when it violates the protocol. */
    receive(link: Link, message: OutgoingMessage): boolean {
        if (message.kind === "verdict") {
            this.handleDeliveryStatus(link, message);
            return true;
        }
        const relay = link.outgoing.get(message.stream);
        switch (message.kind) {
            case "answer":
            case "refusal":
                this.handleHead(link, relay, message);
                return true;
            case "data":
                return relay?.handleData(message.offset, message.bytes) ?? true;
            case "end":
                return relay?.handleEnd(message.length) ?? true;
            case "broken":
                relay?.apply({ kind: "answerBroken" });
                return true;
            case "credit":
                relay?.addCredit(message.bytes);
                return true;
            case "unwanted":
                relay?.stopBody();
                return true;
        }
    }

    /** Handles a new link: queries the status of the requests whose link to that host was lost. */
    handleLinkUp(link: Link): void {
        for (const relay of [...this.relays.values()]) {
            if (relay.phase === "querying" && relay.peer.host === link.peer.host) {
                this.queryStatus(link, relay);
            }
        }
    }

    /** Handles a lost link. */
    handleLinkLost(link: Link): void {
        for (const relay of [...link.outgoing.values()]) {
            relay.apply({ kind: "linkLost" });
        }
        link.outgoing.clear();
    }

    private getRefusalReason(
        link: Link | undefined,
        request: RelayRequest,
        signal: AbortSignal,
    ): RefusalReason | undefined {
        if (this.relays.has(request.id)) {
            return "duplicateRequest";
        }
        if (signal.aborted) {
            return "callerGone";
        }
        if (request.deadline <= 0) {
            return "deadlineBeforeStart";
        }
        if (!link) {
            return "relayUnreachable";
        }
        return link.outgoing.size >= this.options.settings.maxStreams ? "queueFull" : undefined;
    }

    private start(
        link: Link,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer> {
        const { clock, settings } = this.options;
        return new Promise(resolve => {
            const relay = new OutgoingRelay({
                clock,
                settings,
                link,
                request,
                body,
                signal,
                onSettled: resolve,
                onUnmatchedAnswer: () => this.recordUnmatchedAnswer(link, request.id),
                onEnd: () => this.relays.delete(request.id),
            });
            this.relays.set(request.id, relay);
            relay.start();
        });
    }

    private handleHead(
        link: Link,
        relay: OutgoingRelay | undefined,
        message: Extract<OutgoingMessage, { kind: "answer" | "refusal"; }>,
    ): void {
        if (relay?.request.id !== message.id) {
            this.recordUnmatchedAnswer(link, message.id);
        }
        else if (message.kind === "answer") {
            relay.handleAnswer(message.status, message.headers);
        }
        else {
            relay.apply({ kind: "refused", refusal: message.refusal });
        }
    }

    private recordUnmatchedAnswer(link: Link, id: RequestId): void {
        this.options.metrics.count("arbutusdoor_mesh_answers_orphaned_total");
        if (this.options.unmatchedLogLimit.tryAcquire()) {
            this.options.logger.log("answerOrphaned", { peer: link.peer.host, request: id });
        }
    }

    private handleDeliveryStatus(
        link: Link,
        { id, verdict }: Extract<OutgoingMessage, { kind: "verdict"; }>,
    ): void {
        const relay = this.relays.get(id);
        if (relay && isSameIncarnation(relay.peer.incarnation, link)) {
            this.options.metrics.count("arbutusdoor_mesh_verdicts_total", { verdict: verdict.kind });
            relay.apply({ kind: "verdict", verdict });
        }
    }

    private queryStatus(link: Link, relay: OutgoingRelay): void {
        if (!isSameIncarnation(relay.peer.incarnation, link)) {
            relay.apply({ kind: "peerRestarted" });
            return;
        }
        link.send({ kind: "ask", id: relay.request.id, link: relay.peerSerial, stream: relay.stream });
    }
}

function isSameIncarnation(incarnation: HostIncarnation, link: Link): boolean {
    return incarnation === link.peer.incarnation;
}

function refuse(reason: RefusalReason): RelayAnswer {
    return {
        kind: "refusal",
        refusal: createRefusal(reason, "the request was not handed to the other entry host"),
    };
}
