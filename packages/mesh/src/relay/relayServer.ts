import { createRefusal, type Metrics, type Refusal, type RequestId } from "@arbutusdoor/common";
import { evaluateDelivery } from "../core/evaluateDelivery.js";
import { LostLinkHistory } from "../core/lostLinkHistory.js";
import { RequestHistory } from "../core/requestHistory.js";
import type { Link } from "../link/link.js";
import type { MeshHandler } from "../meshHandler.js";
import type { DeliveryStatus } from "../protocol/deliveryStatus.js";
import type { Message } from "../protocol/message.js";
import type { MeshSettings } from "../settings/meshSettings.js";
import { IncomingRelay } from "./incomingRelay.js";
import type { RelayRequest } from "./relayRequest.js";

type RelayServerOptions = {
    readonly metrics: Metrics;
    readonly settings: MeshSettings;
    readonly handler: MeshHandler;
    /** Returns the open link with that serial, if any. */
    readonly findLink: (serial: number) => Link | undefined;
};

/** Messages that belong to a request relayed by a peer. */
type IncomingMessage = Extract<
    Message,
    { kind: "request" | "data" | "end" | "broken" | "credit" | "cancel" | "ask"; }
>;

/** Runs the requests that peers relay, each id at most once, and answers status queries about them. */
export class RelayServer {
    private readonly options: RelayServerOptions;
    private readonly requests: RequestHistory;
    private readonly links: LostLinkHistory;
    private readonly queryLinks = new Map<RequestId, Link>();
    private count = 0;
    private isAccepting = true;

    constructor(options: RelayServerOptions) {
        this.options = options;
        this.requests = new RequestHistory(options.settings.requestMemory);
        this.links = new LostLinkHistory(options.settings.linkMemory);
    }

    /** Number of requests whose answer is still awaited and not completely sent. */
    get size(): number {
        return this.count;
    }

    /** Number of requests whose handler runs, including those whose answer is no longer awaited. */
    get runningCount(): number {
        return this.requests.runningCount;
    }

    /** Number of request ids in the history. */
    get historySize(): number {
        return this.requests.size;
    }

    /** Refuses new requests as not run. */
    stopAccepting(): void {
        this.isAccepting = false;
    }

    /** Handles a message from a peer. Returns false when it violates the protocol. */
    receive(link: Link, message: IncomingMessage): boolean {
        if (message.kind === "request") {
            return this.handleRequest(link, message.stream, message.request);
        }
        if (message.kind === "ask") {
            this.handleStatusQuery(link, message);
            return true;
        }
        const relay = link.incoming.get(message.stream);
        switch (message.kind) {
            case "data":
                return relay?.handleData(message.offset, message.bytes) ?? true;
            case "end":
                return relay?.handleEnd(message.length) ?? true;
            case "broken":
                relay?.breakBody();
                return true;
            case "credit":
                relay?.addCredit(message.bytes);
                return true;
            case "cancel":
                relay?.cancel();
                return true;
        }
    }

    /** Records a connection that was closed before its link opened here, so that no request was or will be received on it. */
    recordUnopenedLink(serial: number): void {
        this.links.record(serial, 0);
    }

    /** Handles a lost link: cancels its requests, whose answers are no longer awaited. */
    handleLinkLost(link: Link): void {
        this.links.record(link.serial, link.lastStream);
        for (const relay of [...link.incoming.values()]) {
            relay.cancel();
        }
    }

    private handleRequest(link: Link, stream: number, request: RelayRequest): boolean {
        if (link.isOwnStream(stream) || stream <= link.lastStream) {
            return false;
        }
        link.lastStream = stream;
        const refusal = this.getRefusal(link, request);
        if (refusal) {
            this.options.metrics.count("arbutusdoor_mesh_requests_refused_total", { reason: refusal.reason });
            link.send({ kind: "refusal", stream, id: request.id, refusal });
            return true;
        }
        this.run(link, stream, request);
        return true;
    }

    private getRefusal(link: Link, request: RelayRequest): Refusal | undefined {
        const record = this.requests.get(request.id);
        if (record?.kind === "barred") {
            return createRefusal(
                "relayNotReceived",
                "a late copy of a request that was reported as not received",
            );
        }
        if (record) {
            return createRefusal("duplicateRequest", "a request with this id was received before");
        }
        const refusal = this.getAdmissionRefusal(link);
        if (refusal) {
            this.requests.recordEnd(request.id, { kind: "refused", refusal });
        }
        return refusal;
    }

    private getAdmissionRefusal(link: Link): Refusal | undefined {
        if (!this.isAccepting) {
            return createRefusal("stopping", "the entry host is about to stop");
        }
        const { maxStreams, maxRunning } = this.options.settings;
        if (link.incoming.size >= maxStreams || this.requests.runningCount >= maxRunning) {
            return createRefusal("queueFull", "too many requests at a time between two entry hosts");
        }
        return undefined;
    }

    private run(link: Link, stream: number, request: RelayRequest): void {
        this.requests.recordStart(request.id);
        this.count++;
        const relay = new IncomingRelay({
            link,
            stream,
            request,
            handler: this.options.handler,
            settings: this.options.settings,
            onRun: refusal => this.handleRunEnd(request.id, refusal),
            onEnd: () => {
                this.count--;
                link.incoming.delete(stream);
            },
        });
        link.incoming.set(stream, relay);
        void relay.run();
    }

    private handleRunEnd(id: RequestId, refusal: Refusal | undefined): void {
        this.requests.recordEnd(id, refusal ? { kind: "refused", refusal } : { kind: "ran" });
        const queryLink = this.queryLinks.get(id);
        if (queryLink) {
            this.queryLinks.delete(id);
            sendDeliveryStatus(queryLink, id, refusal ? { kind: "refused", refusal } : { kind: "received" });
        }
    }

    private handleStatusQuery(
        link: Link,
        { id, link: serial, stream }: Extract<IncomingMessage, { kind: "ask"; }>,
    ): void {
        const lostLink = this.options.findLink(serial);
        if (lostLink?.peer.host === link.peer.host) {
            lostLink.terminate("the peer lost it");
        }
        const status = evaluateDelivery(this.requests.get(id), stream, this.links.getLastStream(serial));
        if (status.kind === "wait") {
            this.queryLinks.set(id, link);
            return;
        }
        if (status.kind === "notReceived") {
            this.requests.recordEnd(id, { kind: "barred" });
        }
        sendDeliveryStatus(link, id, status);
    }
}

function sendDeliveryStatus(link: Link, id: RequestId, verdict: DeliveryStatus): void {
    link.send({ kind: "verdict", id, verdict });
}
