import type { Clock, HeaderFields, Timer } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import { stepRelay } from "../core/stepRelay.js";
import type { PeerIdentity } from "../identity/peerIdentity.js";
import type { Link } from "../link/link.js";
import type { MeshSettings } from "../settings/meshSettings.js";
import { BodyReceiver } from "../stream/bodyReceiver.js";
import { BodySender } from "../stream/bodySender.js";
import type { RelayAnswer } from "./relayAnswer.js";
import type { RelayRequest } from "./relayRequest.js";

type OutgoingRelayOptions = {
    readonly link: Link;
    readonly request: RelayRequest;
    readonly body: Readable | undefined;
    readonly signal: AbortSignal;
    readonly clock: Clock;
    readonly settings: MeshSettings;
    /** Called once with the answer or a refusal. */
    readonly onSettled: (answer: RelayAnswer) => void;
    /** Called when an answer arrives for which no request waits. */
    readonly onUnmatchedAnswer: () => void;
    /** Called when the request and its answer have ended. */
    readonly onEnd: () => void;
};

type RelayEvent = Parameters<typeof stepRelay>[1];
type RelayAction = ReturnType<typeof stepRelay>["actions"][number];

/** A request that this host relays to a peer, until its answer has ended. */
export class OutgoingRelay {
    readonly stream: number;
    phase: ReturnType<typeof stepRelay>["phase"] = "queued";
    private readonly options: OutgoingRelayOptions;
    private readonly onAbort = () => this.apply({ kind: "cancelled" });
    private sender: BodySender | undefined;
    private head: Omit<Extract<RelayAnswer, { kind: "answered"; }>, "kind" | "body"> | undefined;
    private answerBody: BodyReceiver | undefined;
    private deadlineTimer: Timer | undefined;
    private queryTimer: Timer | undefined;

    constructor(options: OutgoingRelayOptions) {
        this.options = options;
        this.stream = options.link.allocateStream();
    }

    get request(): RelayRequest {
        return this.options.request;
    }

    /** The peer that the request is relayed to. */
    get peer(): PeerIdentity {
        return this.options.link.peer;
    }

    /** The peer's serial of the link on which the request is relayed. */
    get peerSerial(): number {
        return this.options.link.hello.serial;
    }

    /** Queues the request and its body. */
    start(): void {
        const { link, request, body, signal, clock, settings } = this.options;
        const onWrite = () => this.handleWrite();
        if (!link.send({ kind: "request", stream: this.stream, request }, onWrite)) {
            this.apply({ kind: "tooLarge" });
            return;
        }
        link.outgoing.set(this.stream, this);
        signal.addEventListener("abort", this.onAbort, { once: true });
        const wait = request.deadline + settings.deadlineGraceMs;
        this.deadlineTimer = clock.schedule(wait, () => this.apply({ kind: "deadlinePassed" }));
        if (body) {
            this.startBody(body);
        }
    }

    /** Applies an event to the request's state. */
    apply(event: RelayEvent): void {
        const step = stepRelay(this.phase, event);
        const isEnding = this.phase !== "ended" && step.phase === "ended";
        this.phase = step.phase;
        for (const action of step.actions) {
            this.execute(action);
        }
        if (isEnding) {
            this.cleanUp();
        }
    }

    /** Handles the head of the answer. */
    handleAnswer(status: number, headers: HeaderFields): void {
        this.head ??= { status, headers };
        this.apply({ kind: "answered" });
    }

    /** Handles a chunk of the answer's body. Returns false when it is out of order or exceeds the peer's credit. */
    handleData(offset: number, bytes: Uint8Array): boolean {
        return this.answerBody?.receive(offset, bytes) ?? false;
    }

    /** Handles the end of the answer's body. Returns false when the length does not match. */
    handleEnd(length: number): boolean {
        const isWhole = this.answerBody?.finish(length) ?? false;
        if (isWhole) {
            this.apply({ kind: "answerEnded" });
        }
        return isWhole;
    }

    /** Adds credit for the request's body. */
    addCredit(bytes: number): void {
        this.sender?.addCredit(bytes);
    }

    /** Stops sending the request's body and leaves the rest unread. */
    stopBody(): void {
        if (this.sender) {
            this.options.link.removeBody(this.sender);
            this.sender.stop();
            this.sender = undefined;
        }
    }

    private startBody(body: Readable): void {
        const { link, settings } = this.options;
        const sender = new BodySender({
            stream: this.stream,
            body,
            windowBytes: settings.streamWindowBytes,
            chunkBytes: settings.chunkBytes,
            events: {
                onReady: () => link.addBody(sender),
                onDone: () => {
                    this.sender = undefined;
                },
            },
        });
        this.sender = sender;
        link.addBody(sender);
    }

    private handleWrite(): boolean {
        const isQueued = this.phase === "queued";
        this.apply({ kind: "sent" });
        return isQueued;
    }

    private execute(action: RelayAction): void {
        const { link, onSettled, onUnmatchedAnswer: onOrphan } = this.options;
        switch (action.kind) {
            case "settle":
                onSettled({ kind: "refusal", refusal: action.refusal });
                break;
            case "deliver":
                this.deliver();
                break;
            case "reportUnmatched":
                onOrphan();
                break;
            case "cancelAtPeer":
                link.send({ kind: "cancel", stream: this.stream });
                break;
            case "breakAnswer":
                this.answerBody?.fail("the link to the entry host was lost within the answer");
                break;
            case "queryStatus":
                this.awaitDeliveryStatus();
                break;
        }
    }

    private deliver(): void {
        const { settings, onSettled } = this.options;
        this.deadlineTimer?.cancel();
        const body = new BodyReceiver(settings.streamWindowBytes, {
            onRead: bytes => this.sendCredit(bytes),
            onUnwanted: () => this.apply({ kind: "cancelled" }),
        });
        this.answerBody = body;
        if (this.head) {
            onSettled({ kind: "answered", ...this.head, body: body.readable });
        }
    }

    private sendCredit(bytes: number): void {
        if (this.phase === "answering") {
            this.options.link.send({ kind: "credit", stream: this.stream, bytes });
        }
    }

    private awaitDeliveryStatus(): void {
        const { clock, request, settings } = this.options;
        const wait = request.isRepeatable ? 0 : settings.askTimeoutMs;
        this.stopBody();
        this.queryTimer = clock.schedule(wait, () => this.apply({ kind: "queryTimedOut" }));
    }

    private cleanUp(): void {
        const { link, signal, onEnd } = this.options;
        this.stopBody();
        this.deadlineTimer?.cancel();
        this.queryTimer?.cancel();
        signal.removeEventListener("abort", this.onAbort);
        link.outgoing.delete(this.stream);
        onEnd();
    }
}
