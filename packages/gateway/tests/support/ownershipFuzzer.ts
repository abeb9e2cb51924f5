import { type Milliseconds, RandomSource } from "@arbutusdoor/common";
import { fencingTokens } from "@arbutusdoor/policy";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import { getGrantExpiry } from "../../src/ownership/getGrantExpiry.js";
import { getHolderName } from "../../src/ownership/getHolderName.js";
import type { HolderState } from "../../src/ownership/holderState.js";
import type { KeyHolder } from "../../src/ownership/keyHolder.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import { OrderScheduler } from "../../src/ownership/orderScheduler.js";
import type { OwnershipSettings } from "../../src/ownership/ownershipSettings.js";
import { rebuildMap } from "../../src/ownership/rebuildMap.js";
import { RestoredKeys } from "../../src/ownership/restoredKeys.js";
import { writeBackMap } from "../../src/ownership/writeBackMap.js";
import { createHolder } from "./createHolder.js";
import { createMapWrite } from "./createMapWrite.js";
import { createStripedMap } from "./createStripedMap.js";
import { DEFAULT_FAULT_MODEL } from "./defaultFaultModel.js";
import type { FaultModel } from "./faultModel.js";
import type { FaultProbabilities } from "./faultProbabilities.js";
import { FuzzedNetwork } from "./fuzzedNetwork.js";
import { FuzzedRegistry } from "./fuzzedRegistry.js";
import { getPresetState } from "./getPresetState.js";
import type { OrderSender } from "./orderSender.js";
import { OwnershipChecker } from "./ownershipChecker.js";
import type { Partition } from "./partition.js";
import { pickChanges } from "./pickChanges.js";
import { SAME_CLOCK } from "./sameClock.js";
import { SimulatedServer } from "./simulatedServer.js";
import { UnreliableMapRow } from "./unreliableMapRow.js";

const STEP_MS = 20;
const HOLD_MS = 2_000;
const KEYS = 8;
const SERVERS = 4;

/** Maximum number of replaced coordinators that go on renewing grants. */
const MAX_RETIRED = 3;
/** Time until a write without an answer is read back, and until the next write after one that did not take effect. */
const READ_BACK_MS = 150;

const COPY_MS = 6_000;

/** The keys of a restored map that is not in force yet. */
type Rebuild = { readonly map: KeyMap; readonly keys: RestoredKeys; };

/**
 * A seeded random run of successive coordinators over a few servers: orders are lost, carried out late or partitioned, servers crash and
 * restart, coordinators are replaced while earlier ones go on renewing grants. Checks in each step who holds which key.
 */
export class OwnershipFuzzer {
    served = 0;
    private readonly checker = new OwnershipChecker();
    private readonly random: RandomSource;
    private readonly probabilities: FaultProbabilities;
    private readonly settings: OwnershipSettings;
    private readonly model: FaultModel;
    private readonly servers = new Map<string, SimulatedServer>();
    private readonly partitions = new Map<string, Partition>();
    /** When each incarnation started, and when it ended. */
    private readonly startedAt = new Map<string, Milliseconds>();
    private readonly endedAt = new Map<string, Milliseconds>();
    /** When each replaced coordinator stopped learning of registry changes and opening connections. */
    private readonly registryLostAt = new Map<OrderSender, Milliseconds>();
    private readonly network: FuzzedNetwork;
    private readonly registry: FuzzedRegistry | undefined;
    private readonly row: UnreliableMapRow;
    private scheduler: OrderScheduler;
    private retired: { readonly scheduler: OrderScheduler; readonly until: Milliseconds; }[] = [];
    private nextWriteAt: Milliseconds = 0;
    private term = 1;
    private era = 0;
    private rebuild: Rebuild | undefined;
    private now: Milliseconds = 0;

    constructor(
        seed: number,
        probabilities: FaultProbabilities,
        settings: Partial<OwnershipSettings> = {},
        model: Partial<FaultModel> = {},
    ) {
        this.random = new RandomSource(seed);
        this.probabilities = probabilities;
        this.model = { ...DEFAULT_FAULT_MODEL, ...model };
        this.settings = {
            ...createOwnershipSettings(HOLD_MS, HOLD_MS),
            renewalAuthorityMs: 3_000,
            ...settings,
        };
        this.registry = probabilities.foreignEntry === undefined ? undefined : new FuzzedRegistry();
        this.network = new FuzzedNetwork({
            random: this.random,
            probabilities,
            settings: this.settings,
            model: this.model,
            checker: this.checker,
            partitions: this.partitions,
            servers: this.servers,
            startedAt: this.startedAt,
            registryLostAt: this.registryLostAt,
            registry: this.registry,
            isNewest: sender => sender === (this.rebuild?.keys ?? this.scheduler),
        });
        const holders = Array.from({ length: SERVERS }, (_, index) => createHolder(`s${index}`));
        holders.forEach(holder => this.start(holder));
        holders.forEach(holder => this.startedAt.set(getHolderName(holder), -Infinity));
        const owners = Array.from({ length: KEYS }, (_, key) => holders[key % SERVERS]!);
        this.row = new UnreliableMapRow(createStripedMap(owners, this.term));
        this.scheduler = this.createScheduler(false);
    }

    /** How often the store went back. */
    get restores(): number {
        return this.era;
    }

    /** Violations of the checked invariants. */
    get violations(): readonly string[] {
        return this.checker.violations;
    }

    /** Simulates a period of time. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            this.registry?.advance(this.now);
            this.injectFaults();
            this.row.copy(this.now);
            this.applyWrites();
            if (this.rebuild) {
                this.continueRebuild(this.rebuild);
            }
            else if (!this.row.isBusy && this.now >= this.nextWriteAt) {
                this.plan();
            }
            if (!this.rebuild) {
                this.send(this.scheduler, true);
            }
            this.retired.filter(({ until }) => this.now < until).forEach(({ scheduler }) =>
                this.send(scheduler, false)
            );
            this.network.deliver(this.now);
            this.check();
        }
    }

    private injectFaults(): void {
        const { crash, cut, foreignEntry, handOver, restore, takeover } = this.probabilities;
        if (this.happens(crash)) {
            const server = this.random.pick(this.listUp());
            server.isUp = false;
            this.endedAt.set(server.name, this.now);
            this.start(createHolder(server.holder.id, server.holder.startedAt + 1));
        }
        if (this.happens(cut)) {
            const server = this.random.pick(this.listUp());
            const until = this.now + this.random.nextInteger(4_000);
            this.partitions.set(server.name, {
                until,
                isOneSided: this.model.isOneSided && this.random.nextFraction() < 0.5,
            });
        }
        if (this.happens(takeover)) {
            this.replaceCoordinator(false);
        }
        if (this.happens(handOver)) {
            this.replaceCoordinator(true);
        }
        if (this.happens(restore)) {
            this.restoreStore();
        }
        if (this.happens(foreignEntry)) {
            this.registry?.addForeignEntry(this.listUp(), this.random, this.now);
        }
    }

    /** Lets the store go back. The coordinator writes its map back, or another one rebuilds the map while the first goes on renewing grants. */
    private restoreStore(): void {
        this.row.restore(this.random.nextInteger(COPY_MS), this.now);
        this.era++;
        this.nextWriteAt = this.now;
        const isContinued = !this.rebuild && this.random.nextFraction() < 0.5;
        if (isContinued) {
            const { map } = this.scheduler;
            this.term++;
            this.row.replace(writeBackMap(map, this.term, this.getNextFence(map)));
            this.scheduler.commit(this.row.map);
        }
        else if (this.retired.length < MAX_RETIRED) {
            const { renewalAuthorityMs } = this.settings;
            this.registryLostAt.set(this.scheduler, this.now);
            if (!this.rebuild) {
                this.retired = [...this.retired, {
                    scheduler: this.scheduler,
                    until: this.now + renewalAuthorityMs,
                }];
            }
            this.beginRebuild();
        }
    }

    /** A coordinator that knows nothing of the lost seconds takes the restored map over. */
    private beginRebuild(): void {
        const { renewalAuthorityMs, retryMs } = this.settings;
        this.term++;
        const fence = this.getNextFence(this.row.map);
        this.row.replace(rebuildMap(this.row.map, this.term, fence, this.now + renewalAuthorityMs));
        const expiresAt = getGrantExpiry(this.now + renewalAuthorityMs, this.settings);
        const keys = new RestoredKeys(fence, { startedAt: this.now, expiresAt, retryMs });
        this.rebuild = { map: this.row.map, keys };
    }

    private continueRebuild({ keys, map }: Rebuild): void {
        const holders = this.listUp().map(({ holder }) => holder);
        keys.takeDueOrders(holders, this.now, KEYS).forEach(order =>
            this.network.send(order, keys, this.now)
        );
        if (keys.isCleared(holders, this.now)) {
            this.rebuild = undefined;
            this.row.replace(rebuildMap(map, this.term, this.getNextFence(map)));
            this.scheduler = this.createScheduler(false);
        }
    }

    private getNextFence({ fence }: KeyMap): number {
        return this.model.isEraIgnored ? fence + 1 : fencingTokens.getNext(fence, this.era)!;
    }

    /** Lets another coordinator take over, from one that stops or from one that goes on renewing grants. */
    private replaceCoordinator(isPlanned: boolean): void {
        const { renewalAuthorityMs } = this.settings;
        if (this.rebuild) {
            // The successor finds the marked map, and starts over.
            this.beginRebuild();
            return;
        }
        const hasChain = this.probabilities.handOver !== undefined;
        const renewing = hasChain ? this.retired.filter(({ until }) => this.now < until) : [];
        if (renewing.length >= MAX_RETIRED) {
            return;
        }
        this.registryLostAt.set(this.scheduler, this.now);
        const last = isPlanned ? [] : [{ scheduler: this.scheduler, until: this.now + renewalAuthorityMs }];
        this.retired = [...renewing, ...last];
        this.term++;
        this.row.takeOver(this.term, () => this.random.nextFraction() < 0.5);
        this.scheduler = this.createScheduler(true);
        this.scheduler.limitPredecessorTime(Math.max(this.now, ...this.retired.map(({ until }) => until)));
    }

    private plan(): void {
        const changes = pickChanges(this.row.map, this.random, this.probabilities, {
            servers: this.registry?.listLive(this.scheduler) ?? this.listKnown().map(({ holder }) => holder),
            isLive: owner => this.getState(owner) === "live",
            isUnresponsive: holder => this.scheduler.isUnresponsive(holder, this.now),
            isReturning: this.registry !== undefined,
        });
        const all = changes.length > 0 ? changes : this.scheduler.listRefused();
        if (
            all.length > 0 || this.happens(this.probabilities.bump)
            || (this.row.hasPendingWrites && this.scheduler.needsCommit)
        ) {
            const fence = this.getNextFence(this.scheduler.map);
            const map = this.scheduler.propose(this.term, all, this.now, fence);
            const times = { now: this.now, readBackMs: READ_BACK_MS };
            this.row.begin(createMapWrite(map, this.row.version, times, this.random, this.probabilities));
        }
    }

    /** Lets pending writes take effect or end; orders went out meanwhile. */
    private applyWrites(): void {
        const write = this.row.applyWrites(this.now);
        if (!write) {
            return;
        }
        if (write.version !== this.row.version) {
            this.scheduler.commit(this.row.map);
            return;
        }
        this.nextWriteAt = this.now + READ_BACK_MS;
        if (!this.row.hasPendingWrites) {
            this.scheduler.abandon();
        }
    }

    private send(scheduler: OrderScheduler, mayMove: boolean): void {
        scheduler.takeDueOrders(this.now, mayMove, KEYS).forEach(order =>
            this.network.send(order, scheduler, this.now)
        );
    }

    private check(): void {
        for (let key = 0; key < KEYS; key++) {
            this.served += this.checker.check(key, this.servers.values(), this.now) ? 1 : 0;
        }
    }

    private createScheduler(isInherited: boolean): OrderScheduler {
        const scheduler: OrderScheduler = new OrderScheduler(
            this.row.map,
            isInherited,
            this.now,
            this.settings,
            holder => this.getState(holder, scheduler),
            SAME_CLOCK,
        );
        if (isInherited) {
            this.registry?.recordInherited(scheduler, this.row.map);
        }
        return scheduler;
    }

    /** Returns what a coordinator knows about an incarnation. */
    private getState(holder: KeyHolder, scheduler = this.scheduler): HolderState {
        if (this.registry) {
            return this.registry.getState(holder, scheduler);
        }
        const seenUntil = this.registryLostAt.get(scheduler) ?? Infinity;
        return getPresetState(this.model, this.endedAt.get(getHolderName(holder)), seenUntil, this.now);
    }

    private start(holder: KeyHolder): void {
        const server = new SimulatedServer(holder, this.random.nextFraction() * 0.02);
        this.servers.set(server.name, server);
        this.registry?.register(holder);
        this.startedAt.set(server.name, this.now);
    }

    private happens(probability: number | undefined): boolean {
        return probability !== undefined && this.random.nextFraction() < probability;
    }

    private listUp(): readonly SimulatedServer[] {
        return [...this.servers.values()].filter(({ isUp }) => isUp);
    }

    /** Returns the incarnations that the coordinator knows of and takes for live. */
    private listKnown(): readonly SimulatedServer[] {
        const knownAt = this.now - this.model.registryLagMs;
        return [...this.servers.values()].filter(({ holder, name }) =>
            this.startedAt.get(name)! <= knownAt && this.getState(holder) === "live"
        );
    }
}
