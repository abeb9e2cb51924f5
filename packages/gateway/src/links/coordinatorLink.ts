import type { Clock, Logger, Milliseconds, RandomSource } from "@arbutusdoor/common";
import type { Connection, Transport } from "@arbutusdoor/mesh";
import { pack, unpack } from "msgpackr";
import type { CoordinatorMessage } from "./coordinatorMessage.js";
import type { HostReport } from "./hostReport.js";

const FRAME_LIMIT_BYTES = 8_388_608;
/** Heartbeats arrive every 300 ms; nothing else detects an unresponsive peer. */
const CONTACT_TIMEOUT_MS = 1_000;
/** Pause after a failed attempt, drawn anew each time up to this; doubles with each further one up to the longest. */
const MIN_PAUSE_MS = 200;
const MAX_PAUSE_MS = 1_600;

/** Dependencies of a link. */
type LinkParts = {
    readonly transport: Transport;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    /** Returns the first report on a link, which says what this host knows. */
    readonly createFirstReport: () => HostReport;
    readonly onMessage: (message: CoordinatorMessage) => void;
};

/** A host's side of its link to the coordinator. */
export class CoordinatorLink {
    private readonly parts: LinkParts;
    private address: string | undefined;
    private connection: Connection | undefined;
    private lastContactAt: Milliseconds = -Infinity;
    /** Number of the attempt in progress; `undefined` while there is none. */
    private attempt: number | undefined;
    private attempts = 0;
    /** Failed attempts at the address since the last link. */
    private failures = 0;
    private nextAttemptAt: Milliseconds = -Infinity;

    constructor(parts: LinkParts) {
        this.parts = parts;
    }

    /** Whether a message of the coordinator arrived within the limit. */
    get isResponsive(): boolean {
        return this.connection !== undefined
            && this.parts.clock.now() - this.lastContactAt < CONTACT_TIMEOUT_MS;
    }

    /**
     * Connects to the coordinator at an address, unless an attempt is in progress or failed just before; closes a link to another one. All
     * hosts look for a new coordinator at the same time: one that they kept asking would have no processor time left to answer.
     */
    connect(address: string): void {
        if (this.address !== address) {
            this.disconnect();
            this.address = address;
            this.failures = 0;
            this.nextAttemptAt = -Infinity;
        }
        const isIdle = !this.connection && this.attempt === undefined;
        if (isIdle && this.parts.clock.now() >= this.nextAttemptAt) {
            this.attempt = ++this.attempts;
            void this.dial(address, this.attempt);
        }
    }

    /** Closes the link. */
    disconnect(): void {
        this.address = undefined;
        this.attempt = undefined;
        this.connection?.terminate();
        this.connection = undefined;
    }

    /** Closes a link on which nothing has arrived for too long. */
    dropUnresponsive(): void {
        if (this.connection && !this.isResponsive) {
            this.parts.logger.log("coordinatorUnlinked", { address: this.address, cause: "silence" });
            this.disconnect();
        }
    }

    /** Sends a report if connected. */
    send(message: HostReport): void {
        this.connection?.send(pack(message));
    }

    private async dial(address: string, attempt: number): Promise<void> {
        const startedAt = this.parts.clock.now();
        const connection = await this.parts.transport.dial(address, FRAME_LIMIT_BYTES);
        const ageMs = Math.round(this.parts.clock.now() - startedAt);
        const isSuperseded = this.attempt !== attempt;
        if (!connection || isSuperseded) {
            connection?.terminate();
            this.handleFailure(address, isSuperseded, ageMs);
            return;
        }
        this.attempt = undefined;
        this.connection = connection;
        this.lastContactAt = this.parts.clock.now();
        this.parts.logger.log("coordinatorLinked", { address, ageMs, failures: this.failures });
        this.failures = 0;
        connection.listen({
            onFrame: bytes => this.handleFrame(connection, bytes),
            onClose: cause => this.handleClose(connection, cause),
            onDrain: () => undefined,
        });
        this.send(this.parts.createFirstReport());
    }

    private handleFailure(address: string, isSuperseded: boolean, ageMs: Milliseconds): void {
        const cause = isSuperseded ? "superseded" : "notConnected";
        if (!isSuperseded) {
            this.attempt = undefined;
            const limit = Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** this.failures);
            this.nextAttemptAt = this.parts.clock.now() + limit * this.parts.random.nextFraction();
            this.failures++;
        }
        this.parts.logger.log("coordinatorLinkFailed", { address, cause, ageMs, failures: this.failures });
    }

    private handleFrame(connection: Connection, bytes: Uint8Array): void {
        this.lastContactAt = this.parts.clock.now();
        try {
            this.parts.onMessage(unpack(bytes) as CoordinatorMessage);
        }
        catch (error) {
            this.parts.logger.log("peerFrameMalformed", { reason: (error as Error).message });
            connection.terminate();
        }
    }

    private handleClose(connection: Connection, cause: string): void {
        if (this.connection === connection) {
            this.parts.logger.log("coordinatorUnlinked", { address: this.address, cause });
            this.connection = undefined;
            this.address = undefined;
        }
    }
}
