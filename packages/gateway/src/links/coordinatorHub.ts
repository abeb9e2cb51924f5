import type { Clock, Logger, Milliseconds } from "@arbutusdoor/common";
import type { Connection, Transport } from "@arbutusdoor/mesh";
import { unpack } from "msgpackr";
import type { CoordinatorMessage } from "./coordinatorMessage.js";
import { encodeMessage } from "./encodeMessage.js";
import { HostReport } from "./hostReport.js";
import type { KnownVersions } from "./knownVersions.js";

const FRAME_LIMIT_BYTES = 8_388_608;
const MAX_LINKS = 1_024;
/** A host that reads too slowly is disconnected and follows the store itself. */
const BUFFER_LIMIT_BYTES = 16_777_216;
/** Reports arrive every 200 ms; nothing else detects an unresponsive peer. */
const CONTACT_TIMEOUT_MS = 2_000;

/** A connected host. */
type HubLink = {
    readonly connection: Connection;
    lastContactAt: Milliseconds;
    /** Known from its first report on, which it sends at once and which says what it knows; nothing is sent to it before. */
    host: string | undefined;
    /** Why this side closes the link; `undefined` while it does not. */
    closeCause: string | undefined;
};

/** Dependencies of a hub. */
type HubParts = {
    readonly transport: Transport;
    readonly ip: string;
    readonly port: number;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly isCoordinating: () => boolean;
    /** Returns the messages for a host that has just connected. */
    readonly createUpdates: (known: KnownVersions | undefined) => readonly CoordinatorMessage[];
    readonly onReport: (report: HostReport) => void;
};

/** The coordinator's side of the links: sends what it knows to all hosts and receives their reports. */
export class CoordinatorHub {
    private readonly parts: HubParts;
    private readonly links = new Set<HubLink>();

    constructor(parts: HubParts) {
        this.parts = parts;
    }

    /** Number of hosts that are connected now. */
    get size(): number {
        return this.links.size;
    }

    /** Bytes that wait to be sent, on all links. */
    get bufferedBytes(): number {
        return [...this.links].reduce((total, { connection }) => total + connection.bufferedBytes, 0);
    }

    /** Starts to accept links. Rejects when the address cannot be bound. */
    async listen(): Promise<void> {
        const { ip, port, transport } = this.parts;
        await transport.listen(ip, port, FRAME_LIMIT_BYTES, connection => this.accept(connection));
    }

    /** Sends a message to all connected hosts that have reported. */
    broadcast(message: CoordinatorMessage): void {
        if (this.links.size === 0) {
            return;
        }
        const bytes = encodeMessage(message);
        for (const link of this.links) {
            if (link.host !== undefined) {
                this.send(link, bytes);
            }
        }
    }

    /** Disconnects hosts that have sent nothing for too long. */
    dropUnresponsive(): void {
        const limit = this.parts.clock.now() - CONTACT_TIMEOUT_MS;
        for (const link of this.links) {
            if (link.lastContactAt < limit) {
                terminate(link, "silence");
            }
        }
    }

    /** Closes all links: this host no longer coordinates. */
    closeLinks(): void {
        this.links.forEach(({ connection }) => connection.close());
        this.links.clear();
    }

    /** Stops accepting links and closes those that are open. */
    async close(): Promise<void> {
        this.closeLinks();
        await this.parts.transport.close();
    }

    private accept(connection: Connection): void {
        const isCoordinating = this.parts.isCoordinating();
        if (!isCoordinating || this.links.size >= MAX_LINKS) {
            connection.close();
            this.logEnd(undefined, isCoordinating ? "too many links" : "not the coordinator");
            return;
        }
        const link: HubLink = {
            connection,
            lastContactAt: this.parts.clock.now(),
            host: undefined,
            closeCause: undefined,
        };
        this.links.add(link);
        connection.listen({
            onFrame: bytes => this.handleFrame(link, bytes),
            onClose: cause => this.handleClose(link, cause),
            onDrain: () => undefined,
        });
    }

    private send(link: HubLink, bytes: Uint8Array): void {
        if (link.connection.bufferedBytes > BUFFER_LIMIT_BYTES) {
            terminate(link, "reads too slowly");
            return;
        }
        link.connection.send(bytes);
    }

    private handleClose(link: HubLink, cause: string): void {
        // Links that are closed because this host no longer coordinates are not listed any more.
        if (this.links.delete(link)) {
            this.logEnd(link.host, link.closeCause ?? cause);
        }
    }

    private logEnd(host: string | undefined, cause: string): void {
        this.parts.logger.log("hostUnlinked", { host, cause, links: this.links.size });
    }

    private handleFrame(link: HubLink, bytes: Uint8Array): void {
        link.lastContactAt = this.parts.clock.now();
        const report = HostReport.safeParse(decode(bytes));
        if (!report.success) {
            this.parts.logger.log("peerFrameMalformed", { reason: report.error.issues[0]?.message });
            terminate(link, "malformed");
            return;
        }
        if (link.host === undefined) {
            link.host = report.data.host;
            this.parts.createUpdates(report.data.known).forEach(message =>
                this.send(link, encodeMessage(message))
            );
        }
        this.parts.onReport(report.data);
    }
}

function terminate(link: HubLink, cause: string): void {
    link.closeCause ??= cause;
    link.connection.terminate();
}

/** Returns the decoded frame, or `undefined` for a malformed one, which the schema then rejects. */
function decode(bytes: Uint8Array): unknown {
    try {
        return unpack(bytes) as unknown;
    }
    catch {
        return undefined;
    }
}
