import { createRefusal, type HostId } from "@arbutusdoor/common";
import {
    Mesh,
    MeshHandler,
    type MeshOptions,
    type PeerIdentity,
    type RelayAnswer,
    type RelayRequest,
} from "@arbutusdoor/mesh";
import type { Readable } from "node:stream";
import type { ControlTopic } from "./controlTopic.js";
import type { PeerListener } from "./peerListener.js";
import type { RelayHandler } from "./relayHandler.js";

type ControlListener = (peer: PeerIdentity, message: unknown) => void;

/** Links to the other entry hosts, shared by the plug-ins: control messages by topic, and relayed requests. */
export class Peers extends MeshHandler {
    /** This host as its peers know it. */
    readonly self: PeerIdentity;
    private readonly mesh: Mesh;
    private readonly listeners: PeerListener[] = [];
    private readonly controlListeners = new Map<ControlTopic, ControlListener>();
    private relayHandler: RelayHandler | undefined;

    constructor(options: Omit<MeshOptions, "handler">) {
        super();
        this.self = options.self;
        this.mesh = new Mesh({ ...options, handler: this });
    }

    /** Calls the listener whenever a link comes up or goes down. */
    listen(listener: PeerListener): void {
        this.listeners.push(listener);
    }

    /** Sets the listener for the control messages of a topic. Their content is not validated. */
    onTopic(topic: ControlTopic, listener: ControlListener): void {
        this.controlListeners.set(topic, listener);
    }

    /** Sets the handler of relayed requests. */
    onRelayed(handler: RelayHandler): void {
        this.relayHandler = handler;
    }

    /** Accepts and dials links. Rejects when the address cannot be bound. */
    async start(): Promise<void> {
        await this.mesh.start();
    }

    /** Peers to which a link is up. */
    list(): readonly PeerIdentity[] {
        return this.mesh.listPeers();
    }

    /** Adds addresses to dial. */
    addSeeds(addresses: readonly string[]): void {
        this.mesh.addSeeds(addresses);
    }

    /** Sends a control message; returns false when it cannot be queued. */
    send(host: HostId, topic: ControlTopic, message: unknown): boolean {
        return this.mesh.send(host, { topic, message });
    }

    /** Sends a control message to every peer. */
    broadcast(topic: ControlTopic, message: unknown): void {
        this.mesh.broadcast({ topic, message });
    }

    /** Relays a request to a peer. Never rejects. */
    relay(
        host: HostId,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer> {
        return this.mesh.relay(host, request, body, signal);
    }

    /** Refuses new relayed requests, and resolves once those under way have ended. */
    async drain(): Promise<void> {
        await this.mesh.drain();
    }

    /** Waits for the relayed requests under way, then closes all links. */
    async close(): Promise<void> {
        await this.mesh.close();
    }

    override onPeerUp(peer: PeerIdentity): void {
        this.listeners.forEach(listener => listener.onUp?.(peer));
    }

    override onPeerDown(peer: PeerIdentity): void {
        this.listeners.forEach(listener => listener.onDown?.(peer));
    }

    override onControl(peer: PeerIdentity, content: unknown): void {
        if (typeof content !== "object" || !content) {
            return;
        }
        const { topic, message } = content as { topic?: ControlTopic; message?: unknown; };
        if (topic !== undefined) {
            this.controlListeners.get(topic)?.(peer, message);
        }
    }

    override async onRelay(
        peer: PeerIdentity,
        request: RelayRequest,
        body: Readable | undefined,
        signal: AbortSignal,
    ): Promise<RelayAnswer> {
        if (!this.relayHandler) {
            return {
                kind: "refusal",
                refusal: createRefusal("stopping", "the entry host is starting or stopping"),
            };
        }
        return this.relayHandler(peer, request, body, signal);
    }
}
