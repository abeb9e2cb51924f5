import { createRefusal, type Refusal } from "@arbutusdoor/common";
import type { Link } from "../link/link.js";
import type { MeshHandler } from "../meshHandler.js";
import type { MeshSettings } from "../settings/meshSettings.js";
import { BodyReceiver } from "../stream/bodyReceiver.js";
import { BodySender } from "../stream/bodySender.js";
import type { RelayAnswer } from "./relayAnswer.js";
import type { RelayRequest } from "./relayRequest.js";

type IncomingRelayOptions = {
    readonly link: Link;
    readonly stream: number;
    readonly request: RelayRequest;
    readonly handler: MeshHandler;
    readonly settings: MeshSettings;
    /** Called when the handler has ended; `undefined` when it answered. */
    readonly onRun: (refusal: Refusal | undefined) => void;
    /** Called when the answer was sent or is no longer needed. */
    readonly onEnd: () => void;
};

/** A peer's request that this host runs, until its answer is sent. */
export class IncomingRelay {
    private readonly options: IncomingRelayOptions;
    private readonly controller = new AbortController();
    private readonly body: BodyReceiver | undefined;
    private sender: BodySender | undefined;
    private hasEnded = false;

    constructor(options: IncomingRelayOptions) {
        this.options = options;
        if (options.request.hasBody) {
            this.body = this.createBody();
        }
    }

    /** Runs the request. Rejects only when the handler does, which violates an invariant. */
    async run(): Promise<void> {
        const { handler, link, request, onRun } = this.options;
        try {
            const answer = await handler.onRelay(
                link.peer,
                request,
                this.body?.readable,
                this.controller.signal,
            );
            onRun(answer.kind === "refusal" ? answer.refusal : undefined);
            this.handleAnswer(answer);
        }
        catch (error) {
            onRun(undefined);
            this.refuse(createRefusal("relayLost", "the entry host failed"));
            throw error;
        }
    }

    /** Handles a chunk of the request's body. Returns false when it is out of order or exceeds the peer's credit. */
    handleData(offset: number, bytes: Uint8Array): boolean {
        return this.body?.receive(offset, bytes) ?? false;
    }

    /** Handles the end of the request's body. Returns false when the length does not match. */
    handleEnd(length: number): boolean {
        return this.body?.finish(length) ?? false;
    }

    /** Handles a truncated request body. */
    breakBody(): void {
        this.body?.fail("the caller's body broke off");
    }

    /** Adds credit for the answer's body. */
    addCredit(bytes: number): void {
        this.sender?.addCredit(bytes);
    }

    /** Cancels the request because its answer is no longer needed. */
    cancel(): void {
        if (!this.hasEnded) {
            this.controller.abort();
            this.end();
        }
    }

    private createBody(): BodyReceiver {
        const { link, stream, settings } = this.options;
        return new BodyReceiver(settings.streamWindowBytes, {
            onRead: bytes => this.hasEnded || link.send({ kind: "credit", stream, bytes }),
            onUnwanted: () => this.hasEnded || link.send({ kind: "unwanted", stream }),
        });
    }

    private handleAnswer(answer: RelayAnswer): void {
        if (answer.kind === "refusal") {
            this.refuse(answer.refusal);
        }
        else if (this.hasEnded) {
            answer.body.on("error", () => {});
            answer.body.destroy();
        }
        else {
            this.answer(answer);
        }
    }

    private answer({ status, headers, body }: Extract<RelayAnswer, { kind: "answered"; }>): void {
        const { link, stream, request } = this.options;
        if (!link.send({ kind: "answer", stream, id: request.id, status, headers })) {
            body.on("error", () => {});
            body.destroy();
            this.refuse(createRefusal("connectionLost", "the head of the answer is too large to hand over"));
            return;
        }
        this.sender = this.createSender(body);
        link.addBody(this.sender);
    }

    private createSender(body: Extract<RelayAnswer, { kind: "answered"; }>["body"]): BodySender {
        const { link, stream, settings } = this.options;
        const sender: BodySender = new BodySender({
            stream,
            body,
            windowBytes: settings.streamWindowBytes,
            chunkBytes: settings.chunkBytes,
            events: {
                onReady: () => link.addBody(sender),
                onDone: () => this.end(),
            },
        });
        return sender;
    }

    private refuse(refusal: Refusal): void {
        if (this.hasEnded) {
            return;
        }
        const { link, stream, request } = this.options;
        link.send({ kind: "refusal", stream, id: request.id, refusal });
        this.end();
    }

    private end(): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        const { link, onEnd } = this.options;
        if (this.sender) {
            link.removeBody(this.sender);
            this.sender.abandon();
        }
        this.body?.fail("the request ended before its body");
        onEnd();
    }
}
