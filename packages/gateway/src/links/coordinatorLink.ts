import type { Clock, Logger, Milliseconds } from "@arbutusdoor/common";
import type { Connection, Transport } from "@arbutusdoor/mesh";
import { pack, unpack } from "msgpackr";
import type { CoordinatorMessage } from "./coordinatorMessage.js";
import type { HostReport } from "./hostReport.js";

const FRAME_LIMIT_BYTES = 8_388_608;
/** Heartbeats arrive every 300 ms; nothing else detects an unresponsive peer. */
const CONTACT_TIMEOUT_MS = 1_000;

/** Dependencies of a link. */
type LinkParts = {
    readonly transport: Transport;
    readonly clock: Clock;
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
    private isDialling = false;
    /** Failed attempts since the last link. */
    private failures = 0;

    constructor(parts: LinkParts) {
        this.parts = parts;
    }

    /** Whether a message of the coordinator arrived within the limit. */
    get isResponsive(): boolean {
        return this.connection !== undefined
            && this.parts.clock.now() - this.lastContactAt < CONTACT_TIMEOUT_MS;
    }

    /** Connects to the coordinator at an address; closes a link to another one. */
    connect(address: string): void {
        if (this.address === address && (this.connection || this.isDialling)) {
            return;
        }
        this.disconnect();
        this.address = address;
        void this.dial(address);
    }

    /** Closes the link. */
    disconnect(): void {
        this.address = undefined;
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

    private async dial(address: string): Promise<void> {
        this.isDialling = true;
        const startedAt = this.parts.clock.now();
        const connection = await this.parts.transport.dial(address, FRAME_LIMIT_BYTES);
        this.isDialling = false;
        const ageMs = Math.round(this.parts.clock.now() - startedAt);
        if (!connection || this.address !== address) {
            connection?.terminate();
            this.failures++;
            const cause = connection ? "superseded" : "notConnected";
            this.parts.logger.log("coordinatorLinkFailed", {
                address,
                cause,
                ageMs,
                failures: this.failures,
            });
            return;
        }
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
