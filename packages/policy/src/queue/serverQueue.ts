import {
    type Clock,
    createRefusal,
    type Metrics,
    type Milliseconds,
    type Refusal,
} from "@arbutusdoor/common";
import PQueue from "p-queue";
import type { Job } from "./job.js";
import type { JobResult } from "./jobResult.js";
import { QueueEntry } from "./queueEntry.js";
import type { ServerQueueSettings } from "./serverQueueSettings.js";
import { ServiceTimes } from "./serviceTimes.js";
import type { StallMeter } from "./stallMeter.js";
import { WaitQueue } from "./waitQueue.js";

const MICROSECONDS_IN_MS = 1_000;

/** Labels of the queue's metrics, for example tenant and service; the class is added. */
type Labels = Readonly<Record<string, string>>;

/** Dependencies of a queue. */
type ServerQueueParts = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Jobs that may run at a time. */
    readonly slots: number;
    readonly settings: ServerQueueSettings;
    /** Measures stalls of this process, which are not service time; omitted with simulated clocks, which never stall. */
    readonly stalls?: StallMeter;
    readonly labels?: Labels;
};

/**
 * A queue of jobs for the slots of one server (or of a pool of servers).
 *
 * A job is refused, and then never runs, when it can't start in time: at once if the measured service times show it or
 * the queue is full; later if its deadline passes, its caller disconnects or a job of higher rank takes its place. A
 * free slot accepts any job, so that a wrong estimate corrects itself.
 */
export class ServerQueue {
    private readonly queue: PQueue;
    private readonly waitQueue = new WaitQueue();
    private readonly running = new Set<QueueEntry<unknown>>();
    private readonly serviceTimes: ServiceTimes;
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    private readonly settings: ServerQueueSettings;
    private readonly stalls: StallMeter | undefined;
    private readonly labels: Labels;
    private slots: number;
    private isClosed = false;

    constructor({ clock, labels = {}, metrics, settings, slots, stalls }: ServerQueueParts) {
        this.clock = clock;
        this.metrics = metrics;
        this.slots = slots;
        this.settings = settings;
        this.stalls = stalls;
        this.labels = labels;
        this.serviceTimes = new ServiceTimes(settings);
        this.queue = new PQueue({ concurrency: Math.max(1, slots), autoStart: slots > 0 });
    }

    /** Number of jobs that wait for a slot. */
    get waitingSize(): number {
        return this.waitQueue.size;
    }

    /** Number of jobs that hold a slot. */
    get runningSize(): number {
        return this.running.size;
    }

    /**
     * Runs a job when a slot is free, or refuses it: `shed` or `queueFull` (no slot in time), `deadlineBeforeStart`,
     * `callerGone` or `stopping`. Every refusal has the outcome `notRun`. Rejects only if the job's run does.
     */
    submit<Value>(job: Job<Value>): Promise<JobResult<Value>> {
        const entry = new QueueEntry(job, this.clock.now(), this.serviceTimes.getMean(job.classId));
        const refusal = this.getRefusal(entry);
        if (refusal) {
            this.refuse(entry, refusal);
        }
        else {
            this.enqueue(entry);
        }
        return entry.result;
    }

    /** Returns the expected time in ms until a new job of this priority would start. */
    estimateWait(priority: number, isIdempotent: boolean): Milliseconds {
        return this.estimateRankWait(2 * priority + (isIdempotent ? 0 : 1));
    }

    /** Changes the number of slots. Running jobs beyond a smaller number finish; with 0 no job starts. */
    setSlots(slots: number): void {
        this.slots = slots;
        if (slots === 0) {
            this.queue.pause();
            return;
        }
        this.queue.concurrency = slots;
        this.queue.start();
    }

    /** Refuses all waiting and all further jobs as `stopping`; running ones continue. */
    close(): void {
        this.isClosed = true;
        for (const entry of this.waitQueue.list()) {
            this.withdraw(entry, createRefusal("stopping", "The entry host is stopping."));
        }
    }

    /** Resolves once no job waits or runs. */
    drain(): Promise<void> {
        return this.queue.onIdle();
    }

    private getRefusal(entry: QueueEntry<unknown>): Refusal | undefined {
        if (this.isClosed) {
            return createRefusal("stopping", "The entry host is stopping.");
        }
        const late = this.getLateRefusal(entry);
        if (late || this.hasFreeSlot()) {
            return late;
        }
        const wait = this.estimateRankWait(entry.rank);
        const needed = Math.max(wait + entry.expected, wait / this.settings.maxWaitShare);
        return this.getShedRefusal(entry, needed) ?? this.makeRoom(entry);
    }

    /** Returns a refusal for a job that needs more time than is left until its deadline. */
    private getShedRefusal({ job }: QueueEntry<unknown>, needed: Milliseconds): Refusal | undefined {
        return needed > job.deadlineAt - this.clock.now()
            ? createRefusal("shed", "The server has too much work to answer within the deadline.")
            : undefined;
    }

    private getLateRefusal(entry: QueueEntry<unknown>): Refusal | undefined {
        if (this.clock.now() >= entry.job.deadlineAt) {
            return createRefusal(
                "deadlineBeforeStart",
                "The deadline passed before the request could start.",
            );
        }
        return entry.job.signal.aborted ? createCallerGone() : undefined;
    }

    /** When the queue is full, refuses the waiting job of lowest rank if the new one ranks higher; otherwise refuses the new one. */
    private makeRoom(entry: QueueEntry<unknown>): Refusal | undefined {
        if (this.waitQueue.size < this.settings.maxWaiting) {
            return undefined;
        }
        const other = this.waitQueue.getLeastImportant();
        if (!other || other.rank >= entry.rank) {
            return createRefusal("queueFull", "The line before the server is full.");
        }
        this.withdraw(other, createRefusal("shed", "A more important request took the place in the line."));
        return undefined;
    }

    private hasFreeSlot(): boolean {
        return this.waitQueue.size === 0 && this.queue.pending < this.slots;
    }

    private estimateRankWait(rank: number): Milliseconds {
        if (this.hasFreeSlot()) {
            return 0;
        }
        const slots = Math.max(1, this.slots);
        return this.estimateFirstFree(slots) + this.waitQueue.getWorkAhead(rank) / slots;
    }

    /** Returns the expected time until a slot is free; when all running jobs are overdue, as long as the newest has run. */
    private estimateFirstFree(slots: number): Milliseconds {
        const now = this.clock.now();
        let expected = 0;
        let newestAge = Infinity;
        let isOverdue = true;
        for (const entry of this.running) {
            const age = now - (entry.startedAt ?? now);
            expected += entry.expected;
            newestAge = Math.min(newestAge, age);
            isOverdue &&= age > entry.expected;
        }
        if (this.running.size === 0) {
            return 0;
        }
        return isOverdue ? newestAge : expected / this.running.size / slots;
    }

    private enqueue(entry: QueueEntry<unknown>): void {
        entry.withdrawal = this.hasFreeSlot() ? undefined : new AbortController();
        this.waitQueue.add(entry);
        const options = { priority: entry.rank, signal: entry.withdrawal?.signal };
        this.queue.add(() => this.start(entry), options).catch(() => undefined);
        if (entry.withdrawal) {
            const remaining = entry.job.deadlineAt - this.clock.now();
            const deadline = this.clock.schedule(remaining, () => this.expire(entry));
            entry.beginWait(deadline, () => this.expire(entry));
        }
    }

    /** Ends the wait of an entry whose deadline has passed or whose caller has disconnected. */
    private expire(entry: QueueEntry<unknown>): void {
        const refusal = this.getLateRefusal(entry);
        if (refusal) {
            this.withdraw(entry, refusal);
        }
    }

    /** Removes a waiting entry from the wait queue and refuses it; no effect once it has left the queue. */
    private withdraw(entry: QueueEntry<unknown>, refusal: Refusal): void {
        if (!this.waitQueue.remove(entry)) {
            return;
        }
        entry.withdrawal?.abort();
        this.refuse(entry, refusal);
    }

    private refuse(entry: QueueEntry<unknown>, refusal: Refusal): void {
        entry.endWait();
        const labels = { ...this.labels, class: entry.job.classId, reason: refusal.reason };
        this.metrics.count("arbutusdoor_queue_refusals_total", labels);
        entry.refuse(refusal);
    }

    private async start(entry: QueueEntry<unknown>): Promise<void> {
        this.waitQueue.remove(entry);
        const refusal = this.getStartRefusal(entry);
        if (refusal) {
            this.refuse(entry, refusal);
            return;
        }
        entry.endWait();
        const startedAt = this.clock.now();
        entry.startedAt = startedAt;
        this.running.add(entry);
        this.record("arbutusdoor_queue_wait_us", entry, startedAt - entry.submittedAt);
        const stalledBefore = this.getStalled();
        await entry.run();
        this.running.delete(entry);
        const duration = this.clock.now() - startedAt;
        const stalled = this.getStalled() - stalledBefore;
        this.serviceTimes.record(entry.job.classId, Math.max(0, duration - stalled));
        this.record("arbutusdoor_queue_service_us", entry, duration);
    }

    private getStalled(): Milliseconds {
        return this.stalls?.getTotal() ?? 0;
    }

    /** Checks a job that has waited again; when no other job runs it starts, so that the estimates stay current. */
    private getStartRefusal(entry: QueueEntry<unknown>): Refusal | undefined {
        const late = this.getLateRefusal(entry);
        const hasWaited = entry.withdrawal !== undefined;
        if (late || !hasWaited || this.running.size === 0) {
            return late;
        }
        const { classId } = entry.job;
        const needed = this.serviceTimes.getBound(classId, this.settings.startDeviations);
        return this.getShedRefusal(entry, needed);
    }

    private record(name: string, entry: QueueEntry<unknown>, duration: Milliseconds): void {
        const labels = { ...this.labels, class: entry.job.classId };
        this.metrics.record(name, labels, duration * MICROSECONDS_IN_MS);
    }
}

/** Refusal of a job whose caller disconnected before it started: unlike in other cases, it is known that nothing ran. */
function createCallerGone(): Refusal {
    return { outcome: "notRun", reason: "callerGone", detail: "The caller left before the request started." };
}
