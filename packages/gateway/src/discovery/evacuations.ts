import type { Clock, DataCentreId, Logger, Milliseconds } from "@arbutusdoor/common";
import type { OperatorEntry } from "../configuration/operatorEntry.js";
import type { TableView } from "../store/tableView.js";

/** The data centres whose servers the operator wants to get no requests, by the rows of the operator's table. */
export class Evacuations {
    private readonly clock: Clock;
    private readonly logger: Logger;
    /** Earliest time at which each evacuation can have been committed; -Infinity when it is not known. */
    private readonly since = new Map<
        string,
        { readonly dataCentre: DataCentreId; readonly at: Milliseconds; }
    >();

    constructor(view: TableView<OperatorEntry>, clock: Clock, logger: Logger) {
        this.clock = clock;
        this.logger = logger;
        view.onChange((changed, origin) => {
            // Without a known age the row may be of any age: this host has just started, or knows no store time.
            const age = view.getAge(origin) ?? Infinity;
            for (const { content, key } of changed) {
                if (content.kind === "value" && content.value.kind === "evacuation") {
                    this.begin(key, content.value.dataCentre, age);
                }
                else if (content.kind === "absent") {
                    this.end(key);
                }
            }
        });
    }

    /** Number of data centres that are evacuated. */
    get size(): number {
        return this.since.size;
    }

    /** Whether the servers of a data centre are to get no requests. */
    isEvacuated(dataCentre: DataCentreId): boolean {
        return this.since.size > 0 && [...this.since.values()].some(entry => entry.dataCentre === dataCentre);
    }

    /** Returns the longest time for which a data centre can have been evacuated; `undefined` when it is not. */
    getMaxTime(dataCentre: DataCentreId): Milliseconds | undefined {
        if (this.since.size === 0) {
            return undefined;
        }
        const starts = [...this.since.values()].filter(entry => entry.dataCentre === dataCentre);
        return starts.length === 0 ? undefined : this.clock.now() - Math.min(...starts.map(({ at }) => at));
    }

    private begin(key: string, dataCentre: DataCentreId, age: Milliseconds): void {
        if (!this.since.has(key)) {
            this.since.set(key, { dataCentre, at: this.clock.now() - age });
            const maxAgeMs = Number.isFinite(age) ? Math.round(age) : undefined;
            this.logger.log("evacuationBegan", { dataCentre, maxAgeMs });
        }
    }

    private end(key: string): void {
        const entry = this.since.get(key);
        if (entry) {
            this.since.delete(key);
            const durationMs = Number.isFinite(entry.at)
                ? Math.round(this.clock.now() - entry.at)
                : undefined;
            this.logger.log("evacuationEnded", { dataCentre: entry.dataCentre, durationMs });
        }
    }
}
