import { type Milliseconds, RandomSource } from "@arbutusdoor/common";
import type { OwnershipSettings } from "../../src/ownership/ownershipSettings.js";
import { SimulatedCluster } from "./simulatedCluster.js";

const STEP_MS = 100;
const SERVERS = 5;
const KEYS = 15;
/** Registry entries of servers that ended are removed after three heartbeats of a second. */
const ENTRY_MS = 3_000;
const LONGEST_MS = 12_000;
const RESTART_MS = 3_000;
const OUTAGE_MS = 4_000;
const COPY_MS = 6_000;
/** Servers write their entries again within this time of the store's return. */
const REWRITE_MS = 2_000;

/** An action that follows later, such as the end of a fault. */
type LaterAction = { readonly at: Milliseconds; readonly action: () => void; };

/** Single faults of a random run: of hosts, servers, links and the store. */
export abstract class ClusterFaults {
    readonly cluster: SimulatedCluster;
    protected readonly random: RandomSource;
    protected readonly hosts: readonly string[];
    protected readonly servers = Array.from({ length: SERVERS }, (_, index) => `s${index}`);
    protected readonly down = new Set<string>();
    protected readonly storeCuts = new Set<string>();
    protected now: Milliseconds = 0;
    private readonly isolated = new Set<string>();
    private later: readonly LaterAction[] = [];
    private started = SERVERS;
    private isStoreDown = false;

    constructor(seed: number, hosts: readonly string[], settings: Partial<OwnershipSettings>) {
        this.hosts = hosts;
        const owners = Array.from({ length: KEYS }, (_, key) => `s${key % SERVERS}`);
        this.cluster = new SimulatedCluster(owners, settings);
        this.random = new RandomSource(seed);
        hosts.forEach(host => this.cluster.startHost(host));
    }

    /** Takes the actions that are due. */
    protected takeLater(): void {
        const due = this.later.filter(({ at }) => at <= this.now);
        this.later = this.later.filter(item => !due.includes(item));
        due.forEach(({ action }) => action());
    }

    /** Lets the store end and come back from an older copy; the servers whose entries differ write them again. */
    protected restoreStore(): void {
        if (this.isStoreDown) {
            return;
        }
        this.isStoreDown = true;
        this.cluster.setStoreDown(true);
        this.after(this.random.nextInteger(OUTAGE_MS), () => {
            this.isStoreDown = false;
            const lost = this.cluster.restoreStore(this.random.nextInteger(COPY_MS));
            this.cluster.setStoreDown(false);
            lost.forEach((server, id) =>
                this.after(this.random.nextInteger(REWRITE_MS), () => this.cluster.register(id, server))
            );
        });
    }

    protected partitionFromStore(host: string): void {
        if (this.down.has(host) || this.storeCuts.has(host)) {
            return;
        }
        this.storeCuts.add(host);
        this.cluster.setStoreCut(host, true);
        this.after(this.random.nextInteger(2 * LONGEST_MS), () => {
            if (this.storeCuts.delete(host)) {
                this.cluster.setStoreCut(host, false);
            }
        });
    }

    protected restart(host: string): void {
        if (this.down.has(host)) {
            return;
        }
        this.down.add(host);
        this.storeCuts.delete(host);
        if (this.random.nextFraction() < 0.5) {
            this.cluster.stopHost(host);
        }
        else {
            this.cluster.crashHost(host);
        }
        this.after(STEP_MS + this.random.nextInteger(RESTART_MS), () => {
            this.down.delete(host);
            this.cluster.startHost(host);
        });
    }

    protected partitionServer(id: string): void {
        const hosts = this.random.nextFraction() < 0.5 ? this.hosts : [this.random.pick(this.hosts)];
        hosts.forEach(host => this.cluster.setServersCut(host, [id], true));
        this.after(this.random.nextInteger(LONGEST_MS), () => {
            hosts.forEach(host => this.cluster.setServersCut(host, [id], false));
        });
    }

    protected isolateServer(id: string): void {
        if (this.isolated.has(id)) {
            return;
        }
        this.isolated.add(id);
        this.cluster.setServerRefusing(id, true);
        this.after(ENTRY_MS, () => {
            if (this.isolated.has(id)) {
                this.cluster.register(id, undefined);
            }
        });
        this.after(ENTRY_MS + this.random.nextInteger(LONGEST_MS), () => {
            this.isolated.delete(id);
            this.cluster.setServerRefusing(id, false);
            if (this.servers.includes(id)) {
                this.cluster.register(id, this.cluster.createEntry(id));
            }
        });
    }

    protected replaceServer(index: number): void {
        const id = this.servers[index]!;
        this.cluster.endServer(id);
        const next = `s${this.started++}`;
        this.servers[index] = next;
        this.cluster.startServer(next);
        this.after(ENTRY_MS, () => this.cluster.register(id, undefined));
    }

    protected after(delay: Milliseconds, action: () => void): void {
        this.later = [...this.later, { at: this.now + delay, action }];
    }

    protected pickBetween(least: number, bound: number): number {
        return least + this.random.nextInteger(bound - least);
    }

    protected happens(probabilities: number): boolean {
        return this.random.nextFraction() < probabilities;
    }
}
