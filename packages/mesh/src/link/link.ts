import type { Clock, Logger, Metrics, Timer } from "@arbutusdoor/common";
import { stepHeartbeat } from "../core/stepHeartbeat.js";
import type { Hello } from "../handshake/hello.js";
import type { PeerIdentity } from "../identity/peerIdentity.js";
import { decodeFrame } from "../protocol/decodeFrame.js";
import { encodeMessage } from "../protocol/encodeMessage.js";
import type { Message } from "../protocol/message.js";
import type { IncomingRelay } from "../relay/incomingRelay.js";
import type { OutgoingRelay } from "../relay/outgoingRelay.js";
import type { MeshSettings } from "../settings/meshSettings.js";
import type { BodySender } from "../stream/bodySender.js";
import type { Connection } from "../transport/connection.js";
import type { LinkListener } from "./linkListener.js";
import { SendQueue } from "./sendQueue.js";

type LinkOptions = {
    readonly connection: Connection;
    /** The peer's hello. */
    readonly hello: Hello;
    /** This host's serial of the link. */
    readonly serial: number;
    readonly isDialler: boolean;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly logger: Logger;
    readonly settings: MeshSettings;
    readonly listener: LinkListener;
};

const HEARTBEAT = encodeMessage({ kind: "heartbeat" });
const STREAM_STEP = 2;

/** An open link to a peer. */
export class Link {
    readonly hello: Hello;
    readonly serial: number;
    /** Requests sent to the peer on this link, by stream number. */
    readonly outgoing = new Map<number, OutgoingRelay>();
    /** Requests received from the peer on this link, by stream number. */
    readonly incoming = new Map<number, IncomingRelay>();
    /** Stream number of the last request received; 0 for none. */
    lastStream = 0;
    private readonly options: LinkOptions;
    private readonly queue: SendQueue;
    private nextStream: number;
    private heartbeat: Parameters<typeof stepHeartbeat>[0];
    private timer: Timer | undefined;
    private isLost = false;

    constructor(options: LinkOptions) {
        this.options = options;
        this.hello = options.hello;
        this.serial = options.serial;
        this.nextStream = options.isDialler ? 1 : STREAM_STEP;
        const now = options.clock.now();
        this.heartbeat = { receivedAt: now, sentAt: now, tickedAt: now };
        this.queue = new SendQueue(
            options.connection,
            options.settings,
            (bytes, messages) => this.recordSent(bytes, messages),
        );
    }

    /** The host at the other end. */
    get peer(): PeerIdentity {
        return this.hello.identity;
    }

    /** Whether everything that was queued has been sent out. */
    get isFlushed(): boolean {
        return this.queue.isEmpty && this.options.connection.bufferedBytes === 0;
    }

    /** Starts to receive from the connection and to send heartbeats. */
    open(): void {
        this.options.connection.listen({
            onFrame: bytes => this.receiveFrame(bytes),
            onClose: cause => this.handleClose(cause),
            onDrain: () => this.queue.flush(),
        });
        this.scheduleTick();
    }

    /** Returns the stream number for the next request sent on this link. */
    allocateStream(): number {
        const stream = this.nextStream;
        this.nextStream += STREAM_STEP;
        return stream;
    }

    /** Whether this host allocated the stream number. */
    isOwnStream(stream: number): boolean {
        return stream % STREAM_STEP === this.nextStream % STREAM_STEP;
    }

    /**
     * Queues a message that belongs to a stream. Returns false when it is larger than a frame or the link is lost.
     * @param onWrite called before the message is written to the socket; the message is dropped when it returns false
     */
    send(message: Message, onWrite?: () => boolean): boolean {
        return this.queue.add(encodeMessage(message), onWrite);
    }

    /** Queues a control message. Returns false when the queue is full or the message is too large. */
    sendControl(encoded: Uint8Array): boolean {
        return this.queue.addControl(encoded);
    }

    /** Adds a body that has something to send. */
    addBody(sender: BodySender): void {
        this.queue.addBody(sender);
    }

    /** Removes a body. */
    removeBody(sender: BodySender): void {
        this.queue.removeBody(sender);
    }

    /** Closes at once and reports the link as lost. */
    terminate(reason: string): void {
        if (this.isLost) {
            return;
        }
        this.isLost = true;
        this.timer?.cancel();
        this.queue.close();
        this.options.connection.terminate();
        this.options.listener.onLost(this, reason);
    }

    /** Sends queued messages and closes. */
    close(): void {
        this.queue.flush();
        this.options.connection.close();
    }

    private receiveFrame(bytes: Uint8Array): void {
        if (this.isLost) {
            return;
        }
        this.heartbeat = { ...this.heartbeat, receivedAt: this.options.clock.now() };
        this.options.metrics.count("arbutusdoor_mesh_received_bytes_total", {}, bytes.length);
        const frame = decodeFrame(bytes);
        if (frame.kind === "malformed") {
            this.handleMalformedFrame(frame.reason);
            return;
        }
        for (const message of frame.messages) {
            const isValid = this.isLost || this.options.listener.receive(this, message);
            if (!isValid) {
                this.handleMalformedFrame(`"${message.kind}" is out of place`);
                return;
            }
        }
    }

    private handleMalformedFrame(reason: string): void {
        this.options.metrics.count("arbutusdoor_mesh_frames_malformed_total");
        this.options.logger.log("peerFrameMalformed", { peer: this.peer.host, reason });
        this.terminate("malformed frame");
    }

    private handleClose(cause: "ended" | "malformed"): void {
        if (cause === "malformed" && !this.isLost) {
            this.handleMalformedFrame("the transport's protocol is broken");
        }
        this.terminate("connection closed");
    }

    private recordSent(bytes: number, messages: number): void {
        this.heartbeat = { ...this.heartbeat, sentAt: this.options.clock.now() };
        this.options.metrics.record("arbutusdoor_mesh_frame_messages", {}, messages);
        this.options.metrics.count("arbutusdoor_mesh_sent_bytes_total", {}, bytes);
    }

    private scheduleTick(): void {
        const { clock, settings } = this.options;
        this.timer = clock.schedule(settings.heartbeatIntervalMs, () => this.tick());
    }

    private tick(): void {
        const step = stepHeartbeat(this.heartbeat, this.options.clock.now(), this.options.settings);
        this.heartbeat = step.state;
        if (step.action === "lost") {
            this.terminate("no heartbeat");
            return;
        }
        if (step.action === "send" && this.queue.isEmpty) {
            this.queue.add(HEARTBEAT);
        }
        this.scheduleTick();
    }
}
