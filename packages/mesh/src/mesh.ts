import type { HostId } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import { Handshake } from "./handshake/handshake.js";
import type { HandshakeResult } from "./handshake/handshakeResult.js";
import type { PeerIdentity } from "./identity/peerIdentity.js";
import { Dialler } from "./link/dialler.js";
import type { Link } from "./link/link.js";
import type { LinkListener } from "./link/linkListener.js";
import { LinkTable } from "./link/linkTable.js";
import { RateLimiter } from "./link/rateLimiter.js";
import type { MeshOptions } from "./meshOptions.js";
import { encodeMessage } from "./protocol/encodeMessage.js";
import type { Message } from "./protocol/message.js";
import type { RelayAnswer } from "./relay/relayAnswer.js";
import { RelayClient } from "./relay/relayClient.js";
import type { RelayRequest } from "./relay/relayRequest.js";
import { RelayServer } from "./relay/relayServer.js";
import type { Connection } from "./transport/connection.js";
import type { Transport } from "./transport/transport.js";
import { WsTransport } from "./transport/wsTransport.js";

const CLOSE_POLL_MS = 20;

/** The links of one entry host to its peers, and the requests relayed over them. */
export class Mesh {
    private readonly options: MeshOptions;
    private readonly transport: Transport;
    private readonly links: LinkTable;
    private readonly client: RelayClient;
    private readonly server: RelayServer;
    private readonly dialler: Dialler;
    private readonly handshakes = new Set<Handshake>();
    private readonly refusalLogLimit: RateLimiter;
    private isClosed = false;

    constructor(options: MeshOptions) {
        const { clock, settings } = options;
        this.options = options;
        this.transport = options.transport ?? new WsTransport(settings.greetingTimeoutMs);
        this.refusalLogLimit = new RateLimiter(clock, settings.logLinesPerSecond);
        this.links = new LinkTable(options.self, {
            ...options,
            listener: this.createLinkListener(),
            onUp: link => this.handleLinkUp(link),
        });
        const unmatchedLogLimit = new RateLimiter(clock, settings.logLinesPerSecond);
        this.client = new RelayClient({ ...options, unmatchedLogLimit });
        this.server = new RelayServer({ ...options, findLink: serial => this.links.find(serial) });
        this.dialler = new Dialler({
            ...options,
            isLinked: (address, host) => this.isLinked(address, host),
            dial: address => this.dial(address),
        });
        this.registerGauges();
    }

    /** Starts to accept and dial links. Resolves to the bound address; rejects when it cannot be bound. */
    async start(): Promise<string> {
        const { listen, seeds, settings } = this.options;
        const onConnection = (connection: Connection) => this.accept(connection);
        const bound = await this.transport.listen(
            listen.host,
            listen.port,
            settings.frameLimitBytes,
            onConnection,
        );
        if (listen.port === 0) {
            this.links.setAddress(bound);
        }
        this.dialler.add(seeds, true);
        return bound;
    }

    /** Returns the peers with an open link. */
    listPeers(): readonly PeerIdentity[] {
        return this.links.list().map(link => link.peer);
    }

    /** Adds addresses to dial. Known ones are unchanged; added ones that never answer are dropped after `seedForgetMs`. */
    addSeeds(addresses: readonly string[]): void {
        this.dialler.add(addresses, false);
    }

    /** Queues a control message. Returns false when there is no link, the queue is full or the message is too large. */
    send(host: HostId, message: unknown): boolean {
        const isQueued = this.links.get(host)?.sendControl(encodeControl(message)) ?? false;
        this.countControl(isQueued);
        return isQueued;
    }

    /** Queues a control message to every peer; returns the number of links that accepted it. */
    broadcast(message: unknown): number {
        const encoded = encodeControl(message);
        const queued = this.links.list().map(link => link.sendControl(encoded));
        queued.forEach(isQueued => this.countControl(isQueued));
        return queued.filter(Boolean).length;
    }

    /**
     * Relays a request to a peer, at most once per request id. Never rejects.
     * Refusals: `relayUnreachable`, `queueFull`, `deadlineBeforeStart`, `malformedRequest` and `relayNotReceived` when the
     * request did not and will not run there; `relayLost`, `deadlineAfterStart`, `duplicateRequest` and `callerGone` when it may;
     * and every refusal by the peer itself. The body of an answer emits an error when it is truncated.
     * @param body the caller's body; the part that the peer does not read is left unread
     * @param signal cancels the request at the peer
     */
    relay(
        host: HostId,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer> {
        return this.client.relay(this.links.get(host), request, body, signal);
    }

    /** Refuses new relayed requests as not run; those in progress continue. */
    stopAccepting(): void {
        this.server.stopAccepting();
    }

    /** Refuses new relayed requests as not run, and resolves once those in progress in both directions have ended. */
    async drain(): Promise<void> {
        this.stopAccepting();
        while (this.client.size + this.server.size > 0) {
            await this.options.clock.sleep(CLOSE_POLL_MS);
        }
    }

    /** Waits up to `closeTimeoutMs` for requests in progress in both directions and for what is queued, then closes all links. */
    async close(): Promise<void> {
        this.stopAccepting();
        this.dialler.close();
        await this.awaitOpenWork();
        this.isClosed = true;
        this.links.stop();
        this.handshakes.forEach(handshake => handshake.stop());
        await this.closeLinks();
        await this.transport.close();
    }

    private createLinkListener(): LinkListener {
        return {
            receive: (link, message) => this.receive(link, message),
            onLost: (link, reason) => this.handleLinkLost(link, reason),
        };
    }

    private receive(link: Link, message: Message): boolean {
        switch (message.kind) {
            case "heartbeat":
                return true;
            case "control":
                this.options.handler.onControl(link.peer, message.payload);
                return true;
            case "answer":
            case "refusal":
            case "unwanted":
                return link.isOwnStream(message.stream) && this.client.receive(link, message);
            case "verdict":
                return this.client.receive(link, message);
            case "request":
            case "cancel":
                return !link.isOwnStream(message.stream) && this.server.receive(link, message);
            case "ask":
                return this.server.receive(link, message);
            case "data":
            case "end":
            case "broken":
            case "credit":
                return link.isOwnStream(message.stream)
                    ? this.client.receive(link, message)
                    : this.server.receive(link, message);
        }
    }

    private handleLinkUp(link: Link): void {
        this.options.handler.onPeerUp(link.peer);
        this.client.handleLinkUp(link);
    }

    private handleLinkLost(link: Link, reason: string): void {
        this.links.remove(link, reason);
        this.client.handleLinkLost(link);
        this.server.handleLinkLost(link);
        this.options.handler.onPeerDown(link.peer);
        this.dialler.scheduleDials();
    }

    private isLinked(address: string, host: HostId | undefined): boolean {
        const isHostLinked = host !== undefined && this.links.get(host) !== undefined;
        return isHostLinked || this.links.list().some(link => link.peer.address === address);
    }

    private accept(connection: Connection): void {
        const { maxGreetings, maxLinks } = this.options.settings;
        const hasRoom = this.handshakes.size < maxGreetings && this.links.list().length < maxLinks;
        if (this.isClosed || !hasRoom) {
            this.options.metrics.count("arbutusdoor_mesh_connections_refused_total");
            connection.terminate();
            return;
        }
        this.startHandshake(connection, false, () => {});
    }

    private async dial(address: string): Promise<HandshakeResult> {
        const connection = await this.transport.dial(address, this.options.settings.frameLimitBytes);
        this.options.metrics.count("arbutusdoor_mesh_dials_total", {
            connected: String(Boolean(connection)),
        });
        if (!connection) {
            return { kind: "lost" };
        }
        if (this.isClosed) {
            connection.terminate();
            return { kind: "lost" };
        }
        return new Promise(resolve => this.startHandshake(connection, true, resolve));
    }

    private startHandshake(
        connection: Connection,
        isDialler: boolean,
        onResult: (result: HandshakeResult) => void,
    ): void {
        const { secret, clock, settings } = this.options;
        const handshake = new Handshake({
            connection,
            isDialler,
            context: this.links,
            secret: secret ?? "",
            clock,
            settings,
            onEnd: result => {
                this.handshakes.delete(handshake);
                this.handleHandshakeResult(connection, isDialler, result);
                if (result.kind !== "open" && handshake.provenSerial !== undefined) {
                    this.server.recordUnopenedLink(handshake.provenSerial);
                }
                onResult(result);
            },
        });
        this.handshakes.add(handshake);
        handshake.start();
    }

    private handleHandshakeResult(connection: Connection, isDialler: boolean, result: HandshakeResult): void {
        switch (result.kind) {
            case "open":
                this.links.open(connection, result.hello, result.serial, isDialler);
                break;
            case "refused":
                this.recordRefusal(result);
                break;
            case "malformed":
                this.options.metrics.count("arbutusdoor_mesh_frames_malformed_total");
                this.logLimited("peerFrameMalformed", { reason: "greeting" });
                break;
            case "lost":
                break;
        }
    }

    private recordRefusal({ reason, isByPeer, hello }: Extract<HandshakeResult, { kind: "refused"; }>): void {
        this.options.metrics.count("arbutusdoor_mesh_greetings_refused_total", { reason });
        const isExpected = reason === "sameHost" || reason === "duplicateLink" || reason === "stopping";
        if (!isExpected) {
            this.logLimited("peerRefused", { reason, isByPeer, peer: hello?.identity.host });
        }
    }

    private logLimited(...line: Parameters<MeshOptions["logger"]["log"]>): void {
        if (this.refusalLogLimit.tryAcquire()) {
            this.options.logger.log(...line);
        }
    }

    private countControl(isQueued: boolean): void {
        this.options.metrics.count("arbutusdoor_mesh_control_total", {
            outcome: isQueued ? "queued" : "refused",
        });
    }

    private async awaitOpenWork(): Promise<void> {
        const { clock, settings } = this.options;
        const end = clock.now() + settings.closeTimeoutMs;
        while (this.hasOpenWork() && clock.now() < end) {
            await clock.sleep(CLOSE_POLL_MS);
        }
    }

    private hasOpenWork(): boolean {
        return this.client.size + this.server.size > 0 || this.links.list().some(link => !link.isFlushed);
    }

    private async closeLinks(): Promise<void> {
        const { clock, settings } = this.options;
        const open = this.links.list();
        open.forEach(link => link.close());
        const end = clock.now() + settings.greetingTimeoutMs;
        while (this.links.list().length > 0 && clock.now() < end) {
            await clock.sleep(CLOSE_POLL_MS);
        }
        this.links.list().forEach(link => link.terminate("closed"));
    }

    private registerGauges(): void {
        const { metrics } = this.options;
        metrics.gauge("arbutusdoor_mesh_links", () => this.links.list().length);
        metrics.gauge("arbutusdoor_mesh_relays_asked", () => this.client.size);
        metrics.gauge("arbutusdoor_mesh_relays_served", () => this.server.size);
        metrics.gauge("arbutusdoor_mesh_request_ids_remembered", () => this.server.historySize);
    }
}

function encodeControl(payload: unknown): Uint8Array {
    return encodeMessage({ kind: "control", payload });
}
