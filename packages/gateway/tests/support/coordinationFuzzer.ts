import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnershipSettings } from "../../src/ownership/ownershipSettings.js";
import type { CoordinationFaults } from "./coordinationFaults.js";
import { SeriesFaults } from "./seriesFaults.js";

const STEP_MS = 100;
const REPORT_STEPS = 2;
const HOSTS = 3;
const SERVERS = 5;
const KEYS = 15;
const LONGEST_MS = 12_000;
/** Orders without an answer are carried out between these times after their arrival. */
const MIN_LATENESS_MS = 2_000;
const MAX_LATENESS_MS = 12_000;
/** Writes without an answer take effect between these times. */
const MIN_LATE_WRITE_MS = 1_000;
const MAX_LATE_WRITE_MS = 6_000;
const PAUSE_MS = 1_000;
const FREEZE_MS = 15_000;
const BURST_MS = 6_000;
const HOT_KEYS = 5;
const HOT_REQUESTS = 4;
/** Names of the hosts of a run. */
const HOST_NAMES = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

/** A seeded random run of hosts with real lease managers and coordinators, through faults of hosts, servers, links and the store. */
export class CoordinationFuzzer extends SeriesFaults {
    private readonly probabilities: CoordinationFaults;
    /** Keys that are busy, and until when. */
    private busy: readonly { readonly key: number; readonly until: Milliseconds; }[] = [];

    constructor(
        seed: number,
        probabilities: CoordinationFaults,
        hosts = HOSTS,
        settings: Partial<OwnershipSettings> = {},
    ) {
        super(seed, HOST_NAMES.slice(0, hosts), settings);
        this.probabilities = probabilities;
        const { lateOrder = 0 } = probabilities;
        if (lateOrder > 0) {
            this.cluster.setLateness(() =>
                this.happens(lateOrder) ? this.pickBetween(MIN_LATENESS_MS, MAX_LATENESS_MS) : undefined
            );
        }
    }

    /** Simulates a period of time. */
    async simulate(duration: Milliseconds): Promise<void> {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            this.takeLater();
            this.injectFaults();
            if (this.now % (REPORT_STEPS * STEP_MS) === 0) {
                this.report();
            }
            await this.cluster.run(STEP_MS);
        }
    }

    private injectFaults(): void {
        const { end, isolation = 0, lostAnswer, missing, restart, restore = 0, serverCut, storeCut } =
            this.probabilities;
        if (this.happens(storeCut)) {
            this.partitionFromStore(this.random.pick(this.hosts));
        }
        if (this.happens(restart)) {
            this.restart(this.random.pick(this.hosts));
        }
        if (this.happens(serverCut)) {
            this.partitionServer(this.random.pick(this.servers));
        }
        if (this.happens(end)) {
            this.replaceServer(this.random.nextInteger(SERVERS));
        }
        if (this.happens(missing)) {
            const id = this.random.pick(this.servers);
            this.cluster.register(id, undefined);
            this.after(this.random.nextInteger(LONGEST_MS), () => {
                if (this.servers.includes(id)) {
                    this.cluster.register(id, this.cluster.createEntry(id));
                }
            });
        }
        if (this.happens(lostAnswer)) {
            this.cluster.maps.lostAnswers++;
        }
        if (restore > 0 && this.happens(restore)) {
            this.restoreStore();
        }
        if (isolation > 0 && this.happens(isolation)) {
            this.isolateServer(this.random.pick(this.servers));
        }
        this.injectSeries();
    }

    private injectSeries(): void {
        const { burst, chain, freeze, lateWrite, orphan, serverRestart, slow } = this.probabilities;
        if (this.mayHappen(chain) && !this.isChainRunning) {
            this.startChain();
        }
        // The initial map is written in the first step.
        if (this.now > 0 && this.mayHappen(lateWrite)) {
            const table = this.random.pick([this.cluster.maps, this.cluster.leases]);
            table.lateWrites = 1;
            table.lateMs = this.pickBetween(MIN_LATE_WRITE_MS, MAX_LATE_WRITE_MS);
        }
        if (this.mayHappen(serverRestart)) {
            this.restartServer(this.random.pick(this.servers));
        }
        if (this.mayHappen(orphan)) {
            this.killWithinPartition(this.pickCoordinator());
        }
        if (this.mayHappen(slow)) {
            this.cluster.pauseHost(this.pickCoordinator(), this.random.nextInteger(PAUSE_MS));
        }
        if (this.mayHappen(freeze)) {
            this.cluster.pauseHost(this.pickCoordinator(), this.random.nextInteger(FREEZE_MS));
        }
        if (this.mayHappen(burst)) {
            const until = this.now + this.random.nextInteger(BURST_MS);
            const keys = Array.from(
                { length: HOT_KEYS },
                () => ({ key: this.random.nextInteger(KEYS), until }),
            );
            this.busy = [...this.busy.filter(entry => entry.until > this.now), ...keys];
        }
    }

    /** Sends reports between the hosts that reach each other. */
    private report(): void {
        const connected = this.hosts.filter(host => !this.down.has(host) && !this.storeCuts.has(host));
        const loads = this.countRequests();
        for (const from of connected) {
            const keys = from === connected[0] ? loads : [];
            connected.forEach(to => this.cluster.report(from, to, keys));
        }
    }

    /** Returns the requests of a report period: busy keys have many. */
    private countRequests(): readonly (readonly [key: number, requests: number])[] {
        const busy = this.busy.filter(({ until }) => until > this.now).map(({ key }) => key);
        return [...new Set(busy)].map(key => [key, HOT_REQUESTS] as const);
    }

    private mayHappen(probability: number | undefined): boolean {
        return probability !== undefined && probability > 0 && this.happens(probability);
    }
}
