import type { Clock, Timer } from "@arbutusdoor/common";
import type { Connection } from "../transport/connection.js";
import { computeProof } from "./computeProof.js";
import { extractHello } from "./extractHello.js";
import type { HandshakeContext } from "./handshakeContext.js";
import type { HandshakeMessage } from "./handshakeMessage.js";
import type { HandshakeRefusalReason } from "./handshakeRefusalReason.js";
import type { HandshakeResult } from "./handshakeResult.js";
import type { Hello } from "./hello.js";
import { isValidProof } from "./isValidProof.js";
import { readHandshakeMessage } from "./readHandshakeMessage.js";
import { validateHello } from "./validateHello.js";

type HandshakeOptions = {
    readonly connection: Connection;
    readonly isDialler: boolean;
    readonly context: HandshakeContext;
    readonly secret: string;
    readonly clock: Clock;
    readonly settings: { readonly greetingTimeoutMs: number; readonly greetingLimitBytes: number; };
    /** Called once. */
    readonly onEnd: (result: HandshakeResult) => void;
};

/** Runs the handshake of a new connection: identifies the peer, decides whether a link may open and which of two links stays. */
export class Handshake {
    private readonly options: HandshakeOptions;
    private readonly own: Hello;
    private peer: Hello | undefined;
    private isVerified = false;
    private timer: Timer | undefined;
    private hasEnded = false;

    constructor(options: HandshakeOptions) {
        this.options = options;
        this.own = options.context.createHello();
    }

    /** This host's serial of the connection once the peer's proof is verified. Requests can arrive on it only if the link opens. */
    get provenSerial(): number | undefined {
        return this.isVerified ? this.own.serial : undefined;
    }

    /** Starts the handshake. */
    start(): void {
        const { connection, clock, settings, isDialler } = this.options;
        this.timer = clock.schedule(settings.greetingTimeoutMs, () => this.end({ kind: "lost" }));
        connection.listen({
            onFrame: bytes => this.receive(bytes),
            onClose: cause => this.end({ kind: cause === "malformed" ? "malformed" : "lost" }),
            onDrain: () => {},
        });
        if (isDialler) {
            this.send({ kind: "hello", ...this.own });
        }
    }

    /** Aborts the handshake. */
    stop(): void {
        this.end({ kind: "lost" });
    }

    private receive(bytes: Uint8Array): void {
        if (this.hasEnded) {
            return;
        }
        if (bytes.length > this.options.settings.greetingLimitBytes) {
            this.end({ kind: "malformed" });
            return;
        }
        const read = readHandshakeMessage(bytes);
        switch (read.kind) {
            case "greeting":
                this.handleMessage(read.greeting);
                break;
            case "otherVersion":
                this.refuse("protocolVersion");
                break;
            case "malformed":
                this.end(read);
                break;
        }
    }

    private handleMessage(message: HandshakeMessage): void {
        switch (message.kind) {
            case "hello":
                this.handleHello(message);
                break;
            case "reply":
                this.handleReply(message);
                break;
            case "proof":
                this.handleProof(message);
                break;
            case "open":
                this.handleOpen();
                break;
            case "refuse":
                this.end({ kind: "refused", reason: message.reason, isByPeer: true, hello: this.peer });
                break;
        }
    }

    private handleHello(message: Extract<HandshakeMessage, { kind: "hello"; }>): void {
        const hello = extractHello(message);
        if (this.options.isDialler || this.peer) {
            this.end({ kind: "malformed" });
            return;
        }
        if (!this.acceptHello(hello)) {
            return;
        }
        const proof = computeProof(this.options.secret, this.own, hello);
        this.send({ kind: "reply", ...this.own, proof, lost: this.options.context.getLostSerial(hello) });
    }

    private handleReply(message: Extract<HandshakeMessage, { kind: "reply"; }>): void {
        const { proof, lost } = message;
        const hello = extractHello(message);
        if (!this.options.isDialler || this.peer) {
            this.end({ kind: "malformed" });
            return;
        }
        if (!this.acceptHello(hello) || !this.verifyProof(proof, hello)) {
            return;
        }
        const ownProof = computeProof(this.options.secret, this.own, hello);
        this.send({ kind: "proof", proof: ownProof, lost: this.options.context.getLostSerial(hello) });
        this.decide(hello, lost);
    }

    private handleProof({ proof, lost }: Extract<HandshakeMessage, { kind: "proof"; }>): void {
        if (this.options.isDialler || !this.peer || this.isVerified) {
            this.end({ kind: "malformed" });
            return;
        }
        if (this.verifyProof(proof, this.peer)) {
            this.decide(this.peer, lost);
        }
    }

    private handleOpen(): void {
        if (!this.peer || !this.isVerified || this.isDeciding(this.peer)) {
            this.end({ kind: "malformed" });
            return;
        }
        this.open(this.peer);
    }

    private acceptHello(hello: Hello): boolean {
        this.peer = hello;
        const reason = validateHello(this.own, hello);
        if (reason) {
            this.refuse(reason);
        }
        return !reason;
    }

    private verifyProof(proof: string, hello: Hello): boolean {
        this.isVerified = isValidProof(proof, computeProof(this.options.secret, hello, this.own));
        if (!this.isVerified) {
            this.refuse("secret");
        }
        return this.isVerified;
    }

    private isDeciding(hello: Hello): boolean {
        return this.own.identity.host < hello.identity.host;
    }

    private decide(hello: Hello, lost: number): void {
        if (!this.isDeciding(hello)) {
            return;
        }
        const reason = this.options.context.checkLink(hello, lost);
        if (reason) {
            this.refuse(reason);
            return;
        }
        this.send({ kind: "open" });
        this.open(hello);
    }

    private open(hello: Hello): void {
        this.settle({ kind: "open", hello, serial: this.own.serial });
    }

    private refuse(reason: HandshakeRefusalReason): void {
        this.send({ kind: "refuse", reason });
        this.options.connection.close();
        this.settle({ kind: "refused", reason, isByPeer: false, hello: this.peer });
    }

    private end(result: HandshakeResult): void {
        if (!this.hasEnded) {
            this.settle(result);
            this.options.connection.terminate();
        }
    }

    private settle(result: HandshakeResult): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.timer?.cancel();
        this.options.onEnd(result);
    }

    private send(message: HandshakeMessage): void {
        this.options.connection.send(Buffer.from(JSON.stringify(message)));
    }
}
