import type { ServiceId, SliceId } from "@arbutusdoor/common";
import { getRoute, type HostIdentity, mayServe } from "@arbutusdoor/ownership";
import type { CallerEntry } from "./callerEntry.js";
import type { EntryHost } from "./entryHost.js";
import type { Simulation } from "./simulation.js";

const INTERVAL_MS = 5;
const DEADLINE_MS = 1000;
const SERVICE = "board" as ServiceId;

type RouteFound = Extract<ReturnType<typeof getRoute>, { kind: "route"; }>;

/** Callers that request one key after the other, each time through another entry host, and never repeat a request. */
export class Callers {
    readonly log: CallerEntry[] = [];
    readonly keys: readonly string[];
    isActive = true;
    private readonly answeredAt = new Map<string, number>();

    constructor(private readonly simulation: Simulation, count: number, private readonly work: number) {
        this.keys = [...Array(count).keys()].map(index => `key-${index}`);
        this.ask(0);
    }

    isAnsweredSince(key: string, time: number): boolean {
        return (this.answeredAt.get(key) ?? -1) >= time;
    }

    private ask(number: number): void {
        const { simulation } = this;
        simulation.clock.schedule(INTERVAL_MS, () => this.ask(number + 1));
        const hosts = [...simulation.hosts.values()].filter(host => host.condition !== "dead");
        if (!this.isActive || hosts.length === 0) {
            return;
        }
        const key = this.keys[number % this.keys.length]!;
        const entry: CallerEntry = {
            id: `request-${number}`,
            key,
            sentAt: simulation.clock.now(),
            endedAt: undefined,
            outcome: "waiting",
            reason: "",
        };
        this.log.push(entry);
        const host = simulation.random.pick(hosts);
        simulation.clock.schedule(DEADLINE_MS, () => this.end(entry, "unknown", "deadline"));
        host.execute(host.incarnationNumber, () => this.receive(host, entry));
    }

    private receive(host: EntryHost, entry: CallerEntry): void {
        const route = getRoute(host.state, SERVICE, entry.key);
        if (route.kind === "refusal") {
            this.end(entry, "notRun", route.refusal.reason);
            return;
        }
        this.relay(host, entry, route, route.grantors);
    }

    /** Tries one grantor after the other, as long as each refuses without having sent the request. */
    private relay(
        host: EntryHost,
        entry: CallerEntry,
        route: RouteFound,
        grantors: readonly HostIdentity[],
        reason = "ownerUnreachable",
    ): void {
        const [next, ...others] = grantors;
        if (!next) {
            this.end(entry, "notRun", reason);
            return;
        }
        const grantor = this.simulation.host(next.host);
        const refuse = (why: string) => {
            const retry = () => this.relay(host, entry, route, others, why);
            this.send(grantor, host, retry);
        };
        const isPresent = () => grantor.state.self.incarnation === next.incarnation;
        this.send(host, grantor, () => isPresent() ? this.serve(grantor, entry, route, refuse) : undefined);
    }

    private serve(
        grantor: EntryHost,
        entry: CallerEntry,
        route: RouteFound,
        refuse: (why: string) => void,
    ): void {
        const { server, slice, generation } = route;
        const refusal = mayServe(grantor.state, server, SERVICE, slice as SliceId, generation, grantor.now());
        if (refusal) {
            refuse(refusal.reason);
            return;
        }
        const { network, clock } = this.simulation;
        const target = this.simulation.server(server);
        const { incarnationNumber } = grantor;
        let isOver = false;
        const end = (then: () => void) => {
            if (!isOver) {
                isOver = true;
                grantor.execute(incarnationNumber, () => {
                    grantor.handle({ kind: "requestEnded", server, service: SERVICE, slice });
                    then();
                });
            }
        };
        grantor.handle({ kind: "requestStarted", server, service: SERVICE, slice });
        clock.schedule(DEADLINE_MS, () => end(() => undefined));
        const request = {
            id: entry.id,
            sentAt: clock.now(),
            key: entry.key,
            slice: `${SERVICE}/${slice}`,
            generation,
            work: this.work,
        };
        let hasArrived = false;
        network.send(grantor.name, target.name, () => {
            if (hasArrived) {
                return;
            }
            hasArrived = true;
            if (target.state === "dead") {
                end(() => refuse("connectionRefused"));
                return;
            }
            target.execute(() =>
                target.handleRequest(
                    request,
                    kind =>
                        network.send(target.name, grantor.name, () =>
                            end(() =>
                                kind === "stale" ? refuse("staleOwner") : this.end(entry, "answered", "")
                            )),
                )
            );
        });
    }

    private send(from: EntryHost, to: EntryHost, action: () => void): void {
        const { incarnationNumber } = to;
        let hasArrived = false;
        const deliver = () => {
            if (!hasArrived) {
                hasArrived = true;
                to.execute(incarnationNumber, action);
            }
        };
        if (from === to) {
            deliver();
            return;
        }
        this.simulation.network.send(from.name, to.name, deliver);
    }

    private end(entry: CallerEntry, outcome: CallerEntry["outcome"], reason: string): void {
        if (entry.outcome !== "waiting") {
            return;
        }
        const now = this.simulation.clock.now();
        Object.assign(entry, { outcome, reason, endedAt: now });
        if (outcome === "answered") {
            this.answeredAt.set(entry.key, entry.sentAt);
        }
    }
}
