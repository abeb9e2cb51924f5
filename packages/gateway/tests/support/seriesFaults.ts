import type { Milliseconds } from "@arbutusdoor/common";
import { ClusterFaults } from "./clusterFaults.js";

const STEP_MS = 100;
/** Registry entries of servers that ended are removed after three heartbeats of a second. */
const ENTRY_MS = 3_000;
const LONGEST_MS = 12_000;
const RESTART_MS = 3_000;
/** Servers write their entries again within this time of the store's return. */
const REWRITE_MS = 2_000;
/** A rolling restart stops a host this long after the one before. */
const STOP_INTERVAL_MS = 1_600;
const MIN_STOPS = 4;
const MAX_STOPS = 7;
/** A stopped host's process ends by itself between these times, or is killed at the end of its grace time. */
const MIN_STOP_MS = 2_500;
const GRACE_MS = 6_000;
/** Orders that arrive sooner after the end of a partition are excused by the rule. */
const MIN_RESEND_MS = 305;
const MAX_RESEND_MS = 6_000;
/** An order is given up after this time. */
const ORDER_TIMEOUT_MS = 800;

/** Faults of a random run that come in series, and those that let an order take effect after its sender is gone. */
export abstract class SeriesFaults extends ClusterFaults {
    protected isChainRunning = false;
    private readonly partitioned = new Set<string>();
    private readonly restarting = new Set<string>();
    private readonly moves = new Map<string, number>();

    /** Stops the coordinator, and each that follows it, as a rolling restart of coordinators does. */
    protected startChain(): void {
        this.isChainRunning = true;
        const stops = this.pickBetween(MIN_STOPS, MAX_STOPS + 1);
        for (let stop = 0; stop < stops; stop++) {
            this.after(stop * STOP_INTERVAL_MS, () => this.stopInChain());
        }
        this.after(stops * STOP_INTERVAL_MS, () => this.isChainRunning = false);
        if (this.random.nextFraction() < 0.6) {
            const begin = this.random.nextInteger(stops * STOP_INTERVAL_MS);
            this.after(
                begin,
                () => this.partitionServers(this.pickPartitioned(), this.random.nextInteger(LONGEST_MS)),
            );
        }
    }

    private stopInChain(): void {
        const host = this.pickCoordinator();
        if (this.down.has(host)) {
            return;
        }
        const kind = this.random.nextFraction();
        if (kind < 0.2) {
            this.partitionFromStore(host);
        }
        if (kind > 0.85) {
            // Before its first write, or soon after it.
            this.after(this.random.nextInteger(5) * STEP_MS, () => this.kill(host));
            return;
        }
        this.down.add(host);
        this.cluster.stopHost(host);
        const endsAfter = this.random.nextFraction() < 0.2
            ? STEP_MS
            : this.pickBetween(MIN_STOP_MS, GRACE_MS);
        const isKilled = this.random.nextFraction() < 0.3;
        this.after(isKilled ? GRACE_MS : endsAfter, () => {
            if (isKilled) {
                this.cluster.crashHost(host);
            }
            this.storeCuts.delete(host);
            this.after(this.pickBetween(STEP_MS, RESTART_MS / 2), () => {
                this.down.delete(host);
                this.cluster.startHost(host);
            });
        });
    }

    protected kill(host: string): void {
        if (this.down.has(host)) {
            return;
        }
        this.down.add(host);
        this.storeCuts.delete(host);
        this.cluster.crashHost(host);
        this.after(this.pickBetween(STEP_MS, RESTART_MS), () => {
            this.down.delete(host);
            this.cluster.startHost(host);
        });
    }

    /** Partitions hosts from some servers so that orders over open connections are held. */
    protected partitionServers(hosts: readonly string[], duration: Milliseconds): void {
        const ids = this.servers.filter(() => this.random.nextFraction() < 0.4);
        for (const host of hosts.filter(name => !this.partitioned.has(name))) {
            this.partitioned.add(host);
            this.cluster.beginPartition(host, ids);
            this.after(duration, () => {
                this.partitioned.delete(host);
                this.cluster.endPartition(host, () => this.pickBetween(MIN_RESEND_MS, MAX_RESEND_MS));
            });
        }
    }

    protected killWithinPartition(host: string): void {
        if (this.down.has(host)) {
            return;
        }
        const hosts = this.random.nextFraction() < 0.7 ? this.hosts : [host];
        this.partitionServers(hosts, this.random.nextInteger(LONGEST_MS));
        this.after(this.random.nextInteger(ORDER_TIMEOUT_MS), () => this.kill(host));
    }

    protected restartServer(id: string): void {
        if (this.restarting.has(id)) {
            return;
        }
        this.restarting.add(id);
        const before = this.cluster.createEntry(id);
        const isMoved = this.random.nextFraction() < 0.5;
        const move = (this.moves.get(id) ?? 1) + (isMoved ? 1 : 0);
        this.moves.set(id, move);
        const address = `10.0.0.${move}:80`;
        this.cluster.endServer(id);
        if (isMoved && this.random.nextFraction() < 0.5) {
            this.after(
                this.random.nextInteger(RESTART_MS),
                () => this.cluster.reuseAddress(id, before.address),
            );
        }
        this.after(this.random.nextInteger(RESTART_MS), () => {
            if (!this.servers.includes(id)) {
                return;
            }
            this.cluster.startProcess(id, address);
            const entryDelay = this.random.nextInteger(REWRITE_MS);
            const register = () => {
                if (this.servers.includes(id)) {
                    this.cluster.register(id, this.cluster.createEntry(id));
                }
            };
            this.after(entryDelay, register);
            const isOldSeen = this.random.nextFraction() < 0.3;
            const oldFrom = entryDelay + this.random.nextInteger(ENTRY_MS);
            const oldUntil = oldFrom + this.random.nextInteger(ENTRY_MS);
            if (isOldSeen) {
                this.after(oldFrom, () => {
                    if (this.servers.includes(id)) {
                        this.cluster.register(id, before);
                    }
                });
                this.after(oldUntil, register);
            }
            this.after(isOldSeen ? oldUntil : entryDelay, () => this.restarting.delete(id));
        });
    }

    /** Returns the hosts of a partition: all, or a random one. */
    private pickPartitioned(): readonly string[] {
        return this.random.nextFraction() < 0.5 ? this.hosts : [this.random.pick(this.hosts)];
    }

    protected pickCoordinator(): string {
        return this.cluster.lastCoordinator ?? this.random.pick(this.hosts);
    }
}
