import type { Clock, Logger, Milliseconds } from "@arbutusdoor/common";
import type { Connection, Transport } from "@arbutusdoor/mesh";
import { pack, unpack } from "msgpackr";
import type { CoordinatorMessage } from "./coordinatorMessage.js";
import { HostReport } from "./hostReport.js";

const FRAME_LIMIT_BYTES = 8_388_608;
const MAX_LINKS = 1_024;
/** A host that reads too slowly is cut off and follows the store itself. */
const BUFFER_LIMIT_BYTES = 16_777_216;
/** Reports come every 200 ms; a silent connection is not told otherwise. */
const SILENCE_LIMIT_MS = 2_000;

/** One linked host. */
type HubLink = { readonly connection: Connection; heardAt: Milliseconds; };

/** What a hub works with. */
type HubParts = {
    readonly transport: Transport;
    readonly ip: string;
    readonly port: number;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Messages for a host that has just linked; `undefined` when this host does not coordinate. */
    readonly getInitialMessages: () => readonly CoordinatorMessage[] | undefined;
    readonly onReport: (report: HostReport) => void;
};

/** The coordinator's end of the links: passes on what it knows to all hosts, and takes their reports. */
export class CoordinatorHub {
    private readonly parts: HubParts;
    private readonly links = new Set<HubLink>();

    constructor(parts: HubParts) {
        this.parts = parts;
    }

    /** Hosts that are linked now. */
    get size(): number {
        return this.links.size;
    }

    /** Takes links from now on. Rejects when the address cannot be had. */
    async listen(): Promise<void> {
        const { ip, port, transport } = this.parts;
        await transport.listen(ip, port, FRAME_LIMIT_BYTES, connection => this.accept(connection));
    }

    /** Sends a message to all linked hosts. */
    broadcast(message: CoordinatorMessage): void {
        if (this.links.size === 0) {
            return;
        }
        const bytes = pack(message);
        for (const link of this.links) {
            this.send(link, bytes);
        }
    }

    /** Cuts off hosts that were not heard for too long. */
    dropUnresponsive(): void {
        const limit = this.parts.clock.now() - SILENCE_LIMIT_MS;
        for (const link of this.links) {
            if (link.heardAt < limit) {
                link.connection.terminate();
            }
        }
    }

    /** Ends all links: this host coordinates no longer. */
    closeLinks(): void {
        this.links.forEach(({ connection }) => connection.close());
        this.links.clear();
    }

    /** Takes no more links and ends those that are open. */
    async close(): Promise<void> {
        this.closeLinks();
        await this.parts.transport.close();
    }

    private accept(connection: Connection): void {
        const greeting = this.parts.getInitialMessages();
        if (!greeting || this.links.size >= MAX_LINKS) {
            connection.close();
            return;
        }
        const link = { connection, heardAt: this.parts.clock.now() };
        this.links.add(link);
        connection.listen({
            onFrame: bytes => this.take(link, bytes),
            onClose: () => this.links.delete(link),
            onDrain: () => undefined,
        });
        greeting.forEach(message => this.send(link, pack(message)));
    }

    private send(link: HubLink, bytes: Uint8Array): void {
        if (link.connection.bufferedBytes > BUFFER_LIMIT_BYTES) {
            link.connection.terminate();
            return;
        }
        link.connection.send(bytes);
    }

    private take(link: HubLink, bytes: Uint8Array): void {
        link.heardAt = this.parts.clock.now();
        const report = HostReport.safeParse(decode(bytes));
        if (!report.success) {
            this.parts.logger.log("peerFrameMalformed", { reason: report.error.issues[0]?.message });
            link.connection.terminate();
            return;
        }
        this.parts.onReport(report.data);
    }
}

/** The decoded frame, or `undefined` for one that the schema then refuses. */
function decode(bytes: Uint8Array): unknown {
    try {
        return unpack(bytes) as unknown;
    }
    catch {
        return undefined;
    }
}
