import type { Clock, Milliseconds, ServerId, Timer } from "@arbutusdoor/common";
import type { Fault } from "./fault.js";
import type { ServerEnd } from "./serverEnd.js";
import type { SimulatedRequest } from "./simulatedRequest.js";

const SLOW_FACTOR = 10;
const REPORT_INTERVAL_MS = 500;

type Visit = {
    readonly request: SimulatedRequest;
    readonly settle: (end: ServerEnd) => void;
    timer?: Timer;
};

/**
 * A backend server of the simulation: slots, a backlog of its own, load figures that lag, and faults. It honours
 * cancellation and deadlines except while it is frozen. Its journal of what it ran is what refusals are judged by.
 */
export class SimulatedServer {
    readonly id: ServerId;
    readonly slots: number;
    /** Times that it started each request. */
    readonly journal = new Map<number, number>();
    /** Slot time spent, for measures of imbalance. */
    workDone: Milliseconds = 0;
    connections = 0;
    peakConnections = 0;
    peakPresent = 0;
    reportedLoad = 0;
    private readonly clock: Clock;
    private readonly faults: readonly Fault[];
    private readonly maxBacklog: number;
    private readonly running = new Set<Visit>();
    private readonly backlog: Visit[] = [];

    constructor(
        clock: Clock,
        id: ServerId,
        slots: number,
        maxBacklog: number,
        faults: readonly Fault[] = [],
    ) {
        this.clock = clock;
        this.id = id;
        this.slots = slots;
        this.maxBacklog = maxBacklog;
        this.faults = faults;
        for (const fault of faults.filter(({ kind }) => kind === "restart")) {
            clock.schedule(fault.from - clock.now(), () => this.loseAll());
        }
        for (const fault of faults.filter(({ kind }) => kind === "freeze")) {
            clock.schedule(fault.until - clock.now(), () => this.startWaiting());
        }
        this.report();
    }

    /** Takes a request; the promise settles with what the sender learns. */
    serve(request: SimulatedRequest, signal: AbortSignal): Promise<ServerEnd> {
        const now = this.clock.now();
        if (this.getFault("restart", now)) {
            return Promise.resolve({ kind: "notRun", cause: "unreachable" });
        }
        if (this.getFault("shed", now) || this.backlog.length >= this.maxBacklog || signal.aborted) {
            return Promise.resolve({ kind: "notRun", cause: "shed" });
        }
        return new Promise(resolve => this.admit(request, signal, resolve));
    }

    private admit(request: SimulatedRequest, signal: AbortSignal, resolve: (end: ServerEnd) => void): void {
        const onAbort = (): void => this.cancel(visit);
        const settle = (end: ServerEnd): void => {
            signal.removeEventListener("abort", onAbort);
            resolve(end);
        };
        const visit: Visit = { request, settle };
        signal.addEventListener("abort", onAbort, { once: true });
        this.backlog.push(visit);
        this.startWaiting();
        this.peakPresent = Math.max(this.peakPresent, this.running.size + this.backlog.length);
    }

    private startWaiting(): void {
        const now = this.clock.now();
        while (this.running.size < this.slots && !this.getFault("freeze", now)) {
            const visit = this.backlog.shift();
            if (!visit) {
                return;
            }
            if (now >= visit.request.deadlineAt) {
                visit.settle({ kind: "notRun", cause: "deadline" });
            }
            else {
                this.start(visit, now);
            }
        }
    }

    private start(visit: Visit, now: Milliseconds): void {
        const { id, work } = visit.request;
        this.journal.set(id, (this.journal.get(id) ?? 0) + 1);
        this.running.add(visit);
        const duration = work * this.getSlowness(now);
        this.workDone += duration;
        visit.timer = this.clock.schedule(this.addFreezes(now, duration), () => {
            this.leave(visit, { kind: "answered", cause: "" });
        });
    }

    private cancel(visit: Visit): void {
        const isFrozen = this.getFault("freeze", this.clock.now()) !== undefined;
        const waitingAt = this.backlog.indexOf(visit);
        if (isFrozen) {
            visit.settle({ kind: "unknown", cause: "cancelled" });
        }
        else if (waitingAt >= 0) {
            this.backlog.splice(waitingAt, 1);
            visit.settle({ kind: "notRun", cause: "cancelled" });
        }
        else if (this.running.has(visit)) {
            this.leave(visit, { kind: "unknown", cause: "cancelled" });
        }
    }

    private leave(visit: Visit, end: ServerEnd): void {
        visit.timer?.cancel();
        this.running.delete(visit);
        visit.settle(end);
        this.startWaiting();
    }

    private loseAll(): void {
        const lost = [...this.running, ...this.backlog.splice(0)];
        this.running.clear();
        for (const visit of lost) {
            visit.timer?.cancel();
            visit.settle({ kind: "unknown", cause: "connectionLost" });
        }
    }

    private getFault(kind: Fault["kind"], now: Milliseconds): Fault | undefined {
        return this.faults.find(fault => fault.kind === kind && now >= fault.from && now < fault.until);
    }

    private getSlowness(now: Milliseconds): number {
        if (this.getFault("slow", now)) {
            return SLOW_FACTOR;
        }
        const cold = this.getFault("cold", now) ?? this.getRestarted(now);
        if (!cold) {
            return 1;
        }
        return 1 + (SLOW_FACTOR - 1) * (cold.until - now) / (cold.until - cold.from);
    }

    private getRestarted(now: Milliseconds): Fault | undefined {
        const restart = this.faults.find(fault => fault.kind === "restart" && now >= fault.until);
        const cold = restart && { ...restart, from: restart.until, until: 2 * restart.until - restart.from };
        return cold && now < cold.until ? cold : undefined;
    }

    private addFreezes(now: Milliseconds, duration: Milliseconds): Milliseconds {
        const freeze = this.faults.find(fault =>
            fault.kind === "freeze" && fault.from >= now && fault.from < now + duration
        );
        return freeze ? duration + freeze.until - freeze.from : duration;
    }

    private report(): void {
        const now = this.clock.now();
        if (!this.getFault("freeze", now)) {
            this.reportedLoad = this.getFault("lying", now) ? 0 : this.running.size + this.backlog.length;
        }
        this.clock.schedule(REPORT_INTERVAL_MS, () => this.report());
    }
}
