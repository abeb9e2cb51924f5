import type { Clock, HostId, HostIncarnation, Logger, Metrics } from "@arbutusdoor/common";
import { randomBytes } from "node:crypto";
import { evaluateNewLink } from "../handshake/evaluateNewLink.js";
import type { HandshakeContext } from "../handshake/handshakeContext.js";
import type { HandshakeRefusalReason } from "../handshake/handshakeRefusalReason.js";
import type { Hello } from "../handshake/hello.js";
import type { PeerIdentity } from "../identity/peerIdentity.js";
import { PROTOCOL_VERSION } from "../protocol/protocolVersion.js";
import type { MeshSettings } from "../settings/meshSettings.js";
import type { Connection } from "../transport/connection.js";
import { Link } from "./link.js";
import type { LinkListener } from "./linkListener.js";

type LinkTableOptions = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly settings: MeshSettings;
    /** Receives the messages. */
    readonly listener: LinkListener;
    readonly onUp: (link: Link) => void;
};

/** The peer's serial of a lost link, and the peer's incarnation at that time. */
type LostLink = { readonly incarnation: HostIncarnation; readonly serial: number; };

const NONCE_BYTES = 16;

/** The open links of a host, one per peer. */
export class LinkTable implements HandshakeContext {
    private readonly options: LinkTableOptions;
    private readonly startedAt: number;
    private readonly links = new Map<HostId, Link>();
    private readonly lost = new Map<HostId, LostLink>();
    private self: PeerIdentity;
    private lastSerial = 0;
    private isClosed = false;

    constructor(self: PeerIdentity, options: LinkTableOptions) {
        this.self = self;
        this.options = options;
        this.startedAt = options.clock.wallTime();
    }

    /** Sets this host's address after it was bound. */
    setAddress(address: string): void {
        this.self = { ...this.self, address };
    }

    /** Returns all open links. */
    list(): readonly Link[] {
        return [...this.links.values()];
    }

    /** Returns the open link to a host, if any. */
    get(host: HostId): Link | undefined {
        return this.links.get(host);
    }

    /** Returns the open link with that serial, if any. */
    find(serial: number): Link | undefined {
        return this.list().find(link => link.serial === serial);
    }

    createHello(): Hello {
        this.lastSerial++;
        return {
            protocol: PROTOCOL_VERSION,
            cluster: this.options.settings.cluster,
            identity: this.self,
            startedAt: this.startedAt,
            serial: this.lastSerial,
            nonce: randomBytes(NONCE_BYTES).toString("hex"),
        };
    }

    checkLink(hello: Hello, lost: number): HandshakeRefusalReason | undefined {
        if (this.isClosed) {
            return "stopping";
        }
        const decision = evaluateNewLink(this.links.get(hello.identity.host), hello, lost);
        return decision === "open" || decision === "replace" ? undefined : decision;
    }

    getLostSerial(hello: Hello): number {
        const { host, incarnation } = hello.identity;
        const lost = this.lost.get(host);
        return lost?.incarnation === incarnation && !this.links.has(host) ? lost.serial : 0;
    }

    /** Opens a link after a successful handshake and replaces an older link to the same host. */
    open(connection: Connection, hello: Hello, serial: number, isDialler: boolean): void {
        const { host } = hello.identity;
        this.links.get(host)?.terminate("replaced by a newer link");
        const link = new Link({ ...this.options, connection, hello, serial, isDialler });
        this.links.set(host, link);
        link.open();
        this.options.logger.log("peerConnected", { peer: host, address: hello.identity.address });
        this.options.onUp(link);
    }

    /** Removes a lost link. */
    remove(link: Link, reason: string): void {
        const { host, incarnation } = link.peer;
        this.links.delete(host);
        this.lost.set(host, { incarnation, serial: link.hello.serial });
        if (this.lost.size > this.options.settings.maxSeeds) {
            const [oldest] = this.lost.keys();
            this.lost.delete(oldest!);
        }
        this.options.metrics.count("arbutusdoor_mesh_links_lost_total");
        this.options.logger.log("peerLost", { peer: host, reason });
    }

    /** Refuses new links from now on. */
    stop(): void {
        this.isClosed = true;
    }
}
