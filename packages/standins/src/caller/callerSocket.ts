import type { Clock } from "@arbutusdoor/common";
import { connect, type Socket } from "node:net";
import { AnswerReader } from "./answerReader.js";
import type { Call } from "./call.js";
import type { CallerEntry } from "./callerEntry.js";
import type { CallerProtocol } from "./callerProtocol.js";
import { isOwnAnswer } from "./isOwnAnswer.js";

const REQUEST_TIMEOUT = 408;

/** Where a connection leads, and how its caller uses it. */
type ConnectionSettings = {
    readonly clock: Clock;
    readonly protocol: CallerProtocol;
    readonly entryHost: string;
    /** Time in ms until the caller gives a request up, and the connection with it. */
    readonly timeoutMs: number;
    /** Pause in ms after each part of an answer that was read. */
    readonly readPauseMs: number;
};

/** How the bytes of a request are sent. */
type Manner = {
    /** Offsets at which the request is divided into pieces. */
    readonly cuts: readonly number[];
    /** Pause in ms between two pieces. */
    readonly pauseMs: number;
    /** Bytes that follow the request. */
    readonly trailer: string;
};

/** A request that waits for its answer. */
type Waiting = {
    readonly call: Call;
    readonly sentAt: number;
    readonly ahead: number;
    readonly isReused: boolean;
    readonly settle: (seen: Pick<CallerEntry, "outcome" | "status" | "requestId" | "isOwn">) => void;
    sentWholeAt?: number;
};

/** One connection of a caller, over which requests can be sent in pieces, late, or several at once; notes when what was sent and seen. */
export class CallerSocket {
    private readonly settings: ConnectionSettings;
    private readonly socket: Socket;
    private readonly reader = new AnswerReader();
    private readonly waiting: Waiting[] = [];
    private openedAt: number | undefined;
    private closeAnnouncedAt: number | undefined;
    private endedAt: number | undefined;
    private isReused = false;
    private isGivenUp = false;
    private failure: unknown;
    private written = Promise.resolve();

    constructor(settings: ConnectionSettings) {
        this.settings = settings;
        const [host, port] = settings.entryHost.split(":");
        this.socket = connect(Number(port), host);
        this.socket.setNoDelay(true);
        this.socket.once("connect", () => this.openedAt = settings.clock.wallTime());
        this.socket.on("data", bytes => this.handleData(bytes));
        this.socket.on("error", () => this.handleEnd());
        this.socket.on("end", () => this.handleEnd());
        this.socket.on("close", () => this.handleEnd());
    }

    /** Whether a request may be sent. */
    get isUsable(): boolean {
        return this.endedAt === undefined && this.closeAnnouncedAt === undefined;
    }

    /** Ends the connection. Throws if what came over it was no answer, or one with no request waiting. */
    close(): void {
        this.socket.destroy();
        if (this.failure !== undefined) {
            throw this.failure;
        }
    }

    /** Sends a request behind those sent before; resolves with what the caller saw. */
    send(call: Call, manner: Manner): Promise<CallerEntry> {
        const { clock, entryHost, timeoutMs } = this.settings;
        const { kind, name, path } = call;
        const sentAt = clock.wallTime();
        return new Promise(resolve => {
            const timer = clock.schedule(timeoutMs, () => this.giveUp());
            const request: Waiting = {
                call,
                sentAt,
                ahead: this.waiting.length,
                isReused: this.isReused,
                settle: seen => {
                    timer.cancel();
                    const endedAt = this.endedAt ?? clock.wallTime();
                    const entry = { name, attempt: 1, kind, path, entryHost, sentAt, endedAt, ...seen };
                    resolve({ ...entry, delivery: this.describe(request) });
                },
            };
            this.waiting.push(request);
            this.written = this.written.then(() => this.write(request, manner));
            if (this.endedAt !== undefined) {
                this.handleEnd();
            }
        });
    }

    private async write(request: Waiting, { cuts, pauseMs, trailer }: Manner): Promise<void> {
        const { clock, protocol, timeoutMs } = this.settings;
        const { body = Buffer.alloc(0), method, path } = request.call;
        const headers = {
            ...protocol.newHeaders(request.call, 1, timeoutMs),
            "content-length": String(body.length),
        };
        const lines = Object.entries(headers).map(([field, value]) => `${field}: ${value}\r\n`).join("");
        const bytes = Buffer.concat([Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines}\r\n`), body]);
        let from = 0;
        for (const cut of [...cuts, bytes.length].filter(offset => offset <= bytes.length)) {
            if (from > 0) {
                await clock.sleep(pauseMs);
            }
            const isLast = cut === bytes.length;
            const piece = Buffer.concat([bytes.subarray(from, cut), Buffer.from(isLast ? trailer : "")]);
            await new Promise<void>(resolve => this.socket.write(piece, () => resolve()));
            from = cut;
        }
        if (this.endedAt === undefined) {
            request.sentWholeAt = clock.wallTime();
        }
    }

    private describe({ ahead, isReused, sentWholeAt }: Waiting): CallerEntry["delivery"] {
        const { closeAnnouncedAt, isGivenUp, openedAt } = this;
        return openedAt === undefined
            ? undefined
            : { openedAt, sentWholeAt, ahead, isReused, closeAnnouncedAt, isGivenUp };
    }

    private giveUp(): void {
        this.isGivenUp = true;
        this.socket.destroy();
        this.handleEnd();
    }

    private handleData(bytes: Buffer): void {
        const { clock, protocol, readPauseMs } = this.settings;
        if (readPauseMs > 0) {
            this.socket.pause();
            clock.schedule(readPauseMs, () => this.socket.resume());
        }
        try {
            for (const { body, headers, status } of this.reader.read(bytes)) {
                const request = this.waiting.shift();
                if (!request && status === REQUEST_TIMEOUT) {
                    // A host may end a silent connection in this way.
                    continue;
                }
                if (!request) {
                    throw new Error(
                        `an answer with no request waiting: ${status} ${body.toString("latin1")}`,
                    );
                }
                if (headers["connection"] === "close") {
                    this.closeAnnouncedAt ??= clock.wallTime();
                }
                this.isReused = true;
                const { outcome, requestId } = protocol.readHead(request.call, 1, status, headers);
                const isOwn = outcome === "answered" && isOwnAnswer(request.call, headers, body);
                request.settle({ outcome, status, requestId, isOwn });
            }
        }
        catch (error) {
            this.failure ??= error;
            this.giveUp();
        }
    }

    private handleEnd(): void {
        this.endedAt ??= this.settings.clock.wallTime();
        let outcome: "none" | "broken" = this.reader.isWithinAnswer ? "broken" : "none";
        for (const { call, settle } of this.waiting.splice(0)) {
            const { requestId } = this.settings.protocol.readHead(call, 1, 0, {});
            settle({ outcome, status: 0, requestId, isOwn: false });
            outcome = "none";
        }
    }
}
