import type { Digest, HostId } from "@arbutusdoor/common";
import { type ConfigurationManager, type ConfigurationVersion } from "@arbutusdoor/configuration";
import type { PeerIdentity } from "@arbutusdoor/mesh";
import type { Peers } from "../peers/peers.js";
import { ConfigurationMessage } from "./configurationMessage.js";
import type { HostVersion } from "./hostVersion.js";

const TOPIC = "configuration";
const MAX_HOSTS = 10_000;

/**
 * Synchronizes the configuration between entry hosts: each announces its version, and a host with an older one requests
 * the text. In each data centre, the connected host with the lowest name polls the head row.
 */
export class ConfigurationSync {
    readonly manager: ConfigurationManager;
    private readonly peers: Peers;
    private readonly versions = new Map<HostId, HostVersion>();

    constructor(manager: ConfigurationManager, peers: Peers) {
        this.manager = manager;
        this.peers = peers;
    }

    /** Starts to listen to peers and to poll. */
    start(): void {
        this.peers.onTopic(TOPIC, (peer, message) => this.handleMessage(peer, message));
        this.peers.listen({
            onUp: peer => {
                this.announce(peer.host);
                this.choosePoller();
            },
            onDown: () => this.choosePoller(),
        });
        this.manager.onAdopted(() => this.peers.broadcast(TOPIC, this.createAnnouncement()));
        this.choosePoller();
        this.manager.start();
    }

    /** Returns the configuration in force on this host. */
    current(): ConfigurationVersion | undefined {
        return this.manager.current();
    }

    /** Lists the versions of this host and of all hosts that have announced theirs, this one first. */
    listVersions(): readonly HostVersion[] {
        const { host, dataCentre } = this.peers.self;
        const own = { host, dataCentre, version: this.getVersion() };
        return [own, ...this.versions.values()];
    }

    private handleMessage(peer: PeerIdentity, content: unknown): void {
        const parsed = ConfigurationMessage.safeParse(content);
        if (!parsed.success) {
            return;
        }
        const message = parsed.data;
        switch (message.kind) {
            case "inForce":
                this.recordVersion(peer, message.version);
                return;
            case "wanted":
                this.sendText(peer.host);
                return;
            case "text":
                this.manager.offer({ ...message, digest: message.digest as Digest });
        }
    }

    private recordVersion(peer: PeerIdentity, version: number): void {
        this.versions.delete(peer.host);
        this.versions.set(peer.host, { host: peer.host, dataCentre: peer.dataCentre, version });
        if (this.versions.size > MAX_HOSTS) {
            const [oldest] = this.versions.keys();
            this.versions.delete(oldest as HostId);
        }
        if (version > this.getVersion()) {
            this.peers.send(peer.host, TOPIC, { kind: "wanted" });
        }
    }

    private sendText(host: HostId): void {
        const current = this.manager.current();
        if (current) {
            const { version, digest, body } = current;
            this.peers.send(host, TOPIC, { kind: "text", version, digest, body });
        }
    }

    private announce(host: HostId): void {
        this.peers.send(host, TOPIC, this.createAnnouncement());
    }

    private createAnnouncement(): ConfigurationMessage {
        return { kind: "inForce", version: this.getVersion() };
    }

    private getVersion(): number {
        return this.manager.current()?.version ?? 0;
    }

    private choosePoller(): void {
        const { host, dataCentre } = this.peers.self;
        const nearby = this.peers.list().filter(peer => peer.dataCentre === dataCentre);
        this.manager.setPoller(nearby.every(peer => host < peer.host));
    }
}
