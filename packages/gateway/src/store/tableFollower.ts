import type { Clock, Logger, Milliseconds } from "@arbutusdoor/common";
import type { RowsOrigin } from "./rowsOrigin.js";
import type { RowSource } from "./rowSource.js";
import type { RowsReadOutcome } from "./rowsReadOutcome.js";
import type { StoreAvailability } from "./storeAvailability.js";
import type { TableView } from "./tableView.js";

/** First delay after a failed call; doubles up to the longest, which is within the limit for applying changes. */
const MIN_DELAY_MS = 50;
const MAX_DELAY_MS = 400;

/** Dependencies of a follower. */
type FollowerParts<Value> = {
    readonly table: string;
    readonly source: RowSource<Value>;
    readonly view: TableView<Value>;
    readonly availability: StoreAvailability;
    readonly clock: Clock;
    readonly logger: Logger;
    /**
     * Returns how long a watch call waits for a change. It limits how long an unresponsive connection stays undetected, and how much earlier
     * than it was read a change can have been committed.
     */
    readonly getWait: () => Milliseconds;
    /** Called with the era that an answer of the store states, before its rows are used. */
    readonly onEra?: (era: number | undefined) => void;
};

/** Keeps a view of a table up to date from the store: reads a snapshot, then makes one watch call after the other. */
export class TableFollower<Value> {
    private readonly parts: FollowerParts<Value>;
    private running: AbortController | undefined;
    /** Reads in a row without an answer since the start. */
    private failures = 0;

    constructor(parts: FollowerParts<Value>) {
        this.parts = parts;
    }

    /** Whether it is following the table. */
    get isRunning(): boolean {
        return this.running !== undefined;
    }

    /** Starts following; no effect if already started. */
    start(): void {
        if (!this.running) {
            this.running = new AbortController();
            void this.run(this.running.signal);
        }
    }

    /** Stops following and aborts pending calls. What happened up to now says nothing about the reads after the next start. */
    stop(): void {
        this.running?.abort(new Error("the table is no longer followed"));
        this.running = undefined;
        this.failures = 0;
    }

    private async run(signal: AbortSignal): Promise<void> {
        let needsSnapshot = this.needsSnapshot;
        /** Watch calls in a row for which the history was lost. */
        let losses = 0;
        while (!signal.aborted) {
            const { asOf } = this.parts.view;
            const read = needsSnapshot
                ? await this.parts.source.read()
                : await this.parts.source.watch(asOf, this.parts.getWait(), signal);
            if (signal.aborted) {
                return;
            }
            const isSnapshot = needsSnapshot;
            needsSnapshot = !this.handleRead(read, isSnapshot, asOf);
            if (read.kind === "unavailable") {
                needsSnapshot = this.needsSnapshot;
                await this.parts.clock.sleep(getDelay(this.failures));
                await this.parts.availability.waitUntilAvailable();
            }
            const isOfEarlierEra = read.kind === "rows" && isSnapshot && needsSnapshot;
            if (read.kind === "historyLost" || isOfEarlierEra) {
                losses++;
                if (losses > 1) {
                    // The snapshot between them was behind the history too, as the next one may be.
                    await this.parts.clock.sleep(getDelay(losses));
                }
            }
            else if (!isSnapshot) {
                losses = 0;
            }
        }
    }

    /** Whether watching is not possible, since nothing is known that a change could be applied to. */
    private get needsSnapshot(): boolean {
        const { view } = this.parts;
        return view.asOf < 0 || view.isOutdated;
    }

    /** Applies the result of a read. Returns false when a snapshot is needed next. */
    private handleRead(read: RowsReadOutcome<Value>, isSnapshot: boolean, after: number): boolean {
        const { clock, logger, table, view } = this.parts;
        if (read.kind === "unavailable") {
            if (this.failures === 0) {
                logger.log("tableUnavailable", { table, reason: read.reason });
            }
            this.failures++;
            return true;
        }
        const isAfterOutage = this.failures > 0;
        if (isAfterOutage) {
            logger.log("tableRecovered", { table, failures: this.failures, at: Math.round(clock.now()) });
            this.failures = 0;
        }
        this.parts.onEra?.(read.era);
        if (read.kind === "historyLost") {
            logger.log("tableHistoryLost", { table, after });
            return false;
        }
        const origin: RowsOrigin = {
            source: "store",
            changedAfter: undefined,
            completeAt: read.storeTime,
            isAfterOutage,
            era: read.era,
        };
        if (isSnapshot) {
            view.applySnapshot(read.rows, read.asOf, origin);
            return !view.isOutdated;
        }
        return view.applyChanges(after, read.rows, read.asOf, origin);
    }
}

function getDelay(failures: number): Milliseconds {
    return Math.min(MAX_DELAY_MS, MIN_DELAY_MS * 2 ** Math.min(failures, 10));
}
