import type { Clock, Logger, Milliseconds } from "@arbutusdoor/common";
import type { Connection, Transport } from "@arbutusdoor/mesh";
import { pack, unpack } from "msgpackr";
import type { CoordinatorMessage } from "./coordinatorMessage.js";
import { HostReport } from "./hostReport.js";

const FRAME_LIMIT_BYTES = 8_388_608;
const MAX_LINKS = 1_024;
/** A host that reads too slowly is disconnected and follows the store itself. */
const BUFFER_LIMIT_BYTES = 16_777_216;
/** Reports arrive every 200 ms; nothing else detects an unresponsive peer. */
const CONTACT_TIMEOUT_MS = 2_000;

/** A connected host. */
type HubLink = { readonly connection: Connection; lastContactAt: Milliseconds; };

/** Dependencies of a hub. */
type HubParts = {
    readonly transport: Transport;
    readonly ip: string;
    readonly port: number;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Returns the messages for a host that has just connected; `undefined` when this host does not coordinate. */
    readonly getInitialMessages: () => readonly CoordinatorMessage[] | undefined;
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

    /** Starts to accept links. Rejects when the address cannot be bound. */
    async listen(): Promise<void> {
        const { ip, port, transport } = this.parts;
        await transport.listen(ip, port, FRAME_LIMIT_BYTES, connection => this.accept(connection));
    }

    /** Sends a message to all connected hosts. */
    broadcast(message: CoordinatorMessage): void {
        if (this.links.size === 0) {
            return;
        }
        const bytes = pack(message);
        for (const link of this.links) {
            this.send(link, bytes);
        }
    }

    /** Disconnects hosts that have sent nothing for too long. */
    dropUnresponsive(): void {
        const limit = this.parts.clock.now() - CONTACT_TIMEOUT_MS;
        for (const link of this.links) {
            if (link.lastContactAt < limit) {
                link.connection.terminate();
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
        const messages = this.parts.getInitialMessages();
        if (!messages || this.links.size >= MAX_LINKS) {
            connection.close();
            return;
        }
        const link = { connection, lastContactAt: this.parts.clock.now() };
        this.links.add(link);
        connection.listen({
            onFrame: bytes => this.handleFrame(link, bytes),
            onClose: () => this.links.delete(link),
            onDrain: () => undefined,
        });
        messages.forEach(message => this.send(link, pack(message)));
    }

    private send(link: HubLink, bytes: Uint8Array): void {
        if (link.connection.bufferedBytes > BUFFER_LIMIT_BYTES) {
            link.connection.terminate();
            return;
        }
        link.connection.send(bytes);
    }

    private handleFrame(link: HubLink, bytes: Uint8Array): void {
        link.lastContactAt = this.parts.clock.now();
        const report = HostReport.safeParse(decode(bytes));
        if (!report.success) {
            this.parts.logger.log("peerFrameMalformed", { reason: report.error.issues[0]?.message });
            link.connection.terminate();
            return;
        }
        this.parts.onReport(report.data);
    }
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
