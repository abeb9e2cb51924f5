import type { OrderOutcome } from "@arbutusdoor/clients";
import { ManualClock, RandomSource } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import { type Effect, OwnershipSettings } from "@arbutusdoor/ownership";
import { Callers } from "./callers.js";
import { EntryHost } from "./entryHost.js";
import { FakeServer } from "./fakeServer.js";
import { FakeTable } from "./fakeTable.js";
import { Network } from "./network.js";
import type { ServerEntry } from "./serverEntry.js";
import type { SimulationSetup } from "./simulationSetup.js";

const LINK_CHECK_MS = 50;
const LINK_LOSS_MS = 500;
/** A driver hands an order to the network a little after the kernel decided on it. */
const SEND_DELAY_MS = 0.05;

/** A small set of hosts and servers with simulated outside systems, on one manual clock with seeded random numbers. */
export class Simulation {
    readonly clock = new ManualClock(0);
    readonly random: RandomSource;
    readonly network: Network;
    readonly table: FakeTable;
    readonly journal: ServerEntry[] = [];
    readonly servers = new Map<string, FakeServer>();
    readonly hosts = new Map<string, EntryHost>();
    readonly callers: Callers;
    readonly notes: { readonly time: number; readonly text: string; }[] = [];
    declaration: Declaration;
    version = 1;
    /** Called with every effect of the kernels. */
    watch: ((effect: Effect) => void) | undefined;
    private readonly links = new Map<string, { isUp: boolean; changedAt: number; runs: string; }>();

    constructor(readonly setup: SimulationSetup) {
        this.random = new RandomSource(setup.seed);
        this.network = new Network(this.clock, this.random);
        this.table = new FakeTable(this.clock, this.random);
        this.declaration = createDeclaration(setup);
        const settings = OwnershipSettings.parse(setup.settings ?? {});
        for (const [centre, { hosts, servers }] of Object.entries(setup.centres)) {
            servers.forEach(name => this.addServer(name));
            for (const name of hosts) {
                const rate = 1 + (this.random.nextFraction() - 0.5) / 5000;
                const host = new EntryHost(
                    name,
                    centre,
                    this.clock,
                    rate,
                    settings,
                    (from, effect) => this.perform(from, effect),
                );
                this.hosts.set(name, host);
                this.configure(host);
            }
        }
        this.callers = new Callers(this, setup.keys ?? 24, setup.work ?? 5);
        this.checkLinks();
    }

    run(duration: number): void {
        this.clock.advance(duration);
    }

    /** Runs until a condition holds, a millisecond at a time. Throws if it does not hold within the limit. */
    runUntil(condition: () => boolean, limit = 10_000): void {
        const end = this.clock.now() + limit;
        while (!condition()) {
            if (this.clock.now() >= end) {
                throw new Error(`not reached within ${limit} ms`);
            }
            this.run(1);
        }
    }

    note(text: string): void {
        this.notes.push({ time: this.clock.now(), text });
    }

    host(name: string): EntryHost {
        return this.hosts.get(name)!;
    }

    server(name: string): FakeServer {
        return this.servers.get(name)!;
    }

    /** All hosts and servers of a data centre. */
    nodesOf(centre: string): readonly string[] {
        const { hosts, servers } = this.setup.centres[centre]!;
        return [...hosts, ...servers];
    }

    coordinator(centre: string): EntryHost | undefined {
        return [...this.hosts.values()].find(host =>
            host.dataCentre === centre && host.condition === "running" && host.state.coordinator.isHeld
        );
    }

    restartHost(name: string): void {
        this.host(name).restart();
        this.configure(this.host(name));
    }

    declare(change: (declaration: Declaration) => Declaration): void {
        this.declaration = change(this.declaration);
        this.version++;
        [...this.hosts.values()].filter(host => host.condition !== "dead").forEach(host =>
            this.configure(host)
        );
    }

    /** Whether each key of the callers was answered since a time. */
    isServedSince(time: number): boolean {
        return this.callers.keys.every(key => this.callers.isAnsweredSince(key, time));
    }

    /** Notes how long after a time the last slice was taken and the last request that was not answered was sent. */
    noteRecovery(since: number): void {
        const taken = this.journal.filter(({ time, event }) => time > since && event.kind === "takes").at(-1);
        const refused = this.callers.log.filter(entry =>
            entry.sentAt > since && entry.outcome !== "answered"
            && entry.outcome !== "waiting"
        ).at(-1);
        const [take, refusal] = [taken?.time, refused?.sentAt].map(time =>
            time === undefined ? "never" : `${Math.round(time - since)} ms`
        );
        this.note(`last slice taken after ${take}; last request not served sent after ${refusal}`);
    }

    private addServer(name: string): void {
        const rate = 1 + (this.random.nextFraction() - 0.5) / 5000;
        const checksOrders = this.setup.checksOrders ?? true;
        this.servers.set(name, new FakeServer(name, checksOrders, this.clock, rate, this.journal));
    }

    private configure(host: EntryHost): void {
        const { version, declaration } = this;
        host.execute(
            host.incarnationNumber,
            () => host.handle({ kind: "configurationChanged", version, declaration }),
        );
    }

    private perform(host: EntryHost, effect: Effect): void {
        const { incarnationNumber } = host;
        this.watch?.(effect);
        switch (effect.kind) {
            case "sendPeer": {
                const from = host.getIdentity();
                const message = structuredClone(effect.message);
                const to = this.host(effect.to);
                this.network.send(
                    host.name,
                    to.name,
                    () =>
                        to.execute(
                            to.incarnationNumber,
                            () => to.handle({ kind: "peerMessage", from, message }),
                        ),
                );
                break;
            }
            case "sendOrder":
                this.sendOrder(host, effect);
                break;
            case "transact":
                if (!this.network.isCut(host.name, "table")) {
                    const { operationId } = effect.transaction;
                    this.table.transact(
                        structuredClone(effect.transaction),
                        outcome =>
                            host.execute(
                                incarnationNumber,
                                () => host.handle({ kind: "tableDone", operationId, outcome }),
                            ),
                    );
                }
                break;
            case "readRows":
                if (!this.network.isCut(host.name, "table")) {
                    this.table.read(
                        effect.keys,
                        effect.prefix,
                        outcome =>
                            host.execute(
                                incarnationNumber,
                                () => host.handle({ kind: "tableRead", tag: effect.tag, outcome }),
                            ),
                    );
                }
                break;
            case "log":
                break;
        }
    }

    private sendOrder(host: EntryHost, { order, timeout }: Extract<Effect, { kind: "sendOrder"; }>): void {
        const { incarnationNumber } = host;
        const sentAt = host.now() + SEND_DELAY_MS;
        const server = this.server(order.server);
        let isOver = false;
        const end = (outcome: OrderOutcome) => {
            if (!isOver) {
                isOver = true;
                host.execute(
                    incarnationNumber,
                    () => host.handle({ kind: "orderReply", order, sentAt, outcome }),
                );
            }
        };
        this.clock.schedule(timeout, () => end({ kind: "silent", reason: "timeout" }));
        this.network.send(host.name, server.name, () => {
            if (server.state === "dead") {
                this.network.send(server.name, host.name, () => end({ kind: "refused", reason: "refused" }));
                return;
            }
            server.execute(() => {
                const reply = server.handleOrder(order);
                this.network.send(server.name, host.name, () => end({ kind: "reply", reply }));
            });
        });
    }

    /** Tells hosts which of their peer links are up. A killed process is noticed at once, an unresponsive one after a while. */
    private checkLinks(): void {
        for (const left of this.hosts.values()) {
            for (const right of this.hosts.values()) {
                if (left.name < right.name) {
                    this.checkLink(left, right);
                }
            }
        }
        this.clock.schedule(LINK_CHECK_MS, () => this.checkLinks());
    }

    private checkLink(left: EntryHost, right: EntryHost): void {
        const runs = `${left.incarnationNumber}/${right.incarnationNumber}`;
        const link = this.links.get(`${left.name}/${right.name}`) ?? { isUp: false, changedAt: 0, runs };
        const conditions = [left.condition, right.condition];
        const isWorking = conditions.every(condition => condition === "running")
            && !this.network.isCut(left.name, right.name);
        const now = this.clock.now();
        const isDead = conditions.includes("dead") || link.runs !== runs;
        const since = isWorking === link.isUp && !isDead ? now : link.changedAt;
        const isLost = link.isUp && (isDead || (!isWorking && now - since >= LINK_LOSS_MS));
        const isFound = !link.isUp && isWorking;
        this.links.set(`${left.name}/${right.name}`, { isUp: link.isUp, changedAt: since, runs });
        if (isLost || isFound) {
            this.links.set(`${left.name}/${right.name}`, { isUp: isFound, changedAt: now, runs });
            const kind = isFound ? "peerUp" : "peerDown";
            const [identity, other] = [right.getIdentity(), left.getIdentity()];
            left.execute(left.incarnationNumber, () => left.handle({ kind, identity }));
            right.execute(right.incarnationNumber, () => right.handle({ kind, identity: other }));
        }
    }
}

function createDeclaration(setup: SimulationSetup): Declaration {
    const servers = Object.entries(setup.centres).flatMap(([dataCentre, { servers: names }]) =>
        names.map(name => ({
            name,
            dataCentre,
            service: "board",
            address: `${name}:1`,
            slots: 4,
            connections: 50,
            checksOrders: setup.checksOrders ?? true,
            isDraining: false,
        }))
    );
    return {
        format: 1,
        tenant: "kites",
        dataCentres: Object.keys(setup.centres),
        services: [{
            name: "board",
            kind: "keyed",
            classes: [],
            slices: setup.slices ?? 8,
            routes: [],
            objective: {
                imbalance: 0.34,
                churn: 0.33,
                unavailability: 0.33,
                patienceMs: 0,
                takeover: "lease",
                restMs: 60_000,
                movesPerMinute: 12,
                ...setup.objective,
            },
        }],
        servers,
    };
}
