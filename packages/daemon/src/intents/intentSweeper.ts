import type { Row, TableService } from "@arbutusdoor/clients";
import type { Clock, Metrics, OperationId, RandomSource, ServiceId, Timer } from "@arbutusdoor/common";
import { IntentRow } from "./intentRow.js";
import type { IntentSettings } from "./intentSettings.js";

type IntentSweeperOptions = {
    readonly clock: Clock;
    readonly table: TableService;
    readonly settings: IntentSettings;
    readonly random: RandomSource;
    readonly metrics: Metrics;
    /** Identifies this incarnation of the host. */
    readonly writer: string;
    /** Services whose expired intents this host deletes; none while another host deletes them. */
    readonly listServices: () => readonly ServiceId[];
};

const PART_DIGITS = 3;
const HEXADECIMAL = 16;
const PART_COUNT = HEXADECIMAL ** PART_DIGITS;

/**
 * Deletes intents after their retention time. Each turn reads one of 4096 parts of the intents of one service and deletes
 * at most a batch. A delete whose answer is lost is not repeated: the next round finds the remaining rows.
 */
export class IntentSweeper {
    private readonly options: IntentSweeperOptions;
    private turn: number;
    private operations = 0;
    private timer: Timer | undefined;

    constructor(options: IntentSweeperOptions) {
        this.options = options;
        this.turn = options.random.nextInteger(PART_COUNT);
    }

    /** Starts sweeping. */
    start(): void {
        const { clock, settings } = this.options;
        this.timer = clock.schedule(settings.sweepIntervalMs, () => {
            void this.sweepPart().then(() => {
                if (this.timer) {
                    this.start();
                }
            });
        });
    }

    /** Stops sweeping. */
    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
    }

    /** Sweeps the next part; resolves to the number of deleted rows. */
    async sweepPart(): Promise<number> {
        const services = this.options.listServices();
        const service = services[Math.floor(this.turn / PART_COUNT) % Math.max(1, services.length)];
        const part = (this.turn % PART_COUNT).toString(HEXADECIMAL).padStart(PART_DIGITS, "0");
        if (service === undefined) {
            return 0;
        }
        this.turn++;
        const read = await this.options.table.scan(`intent/${service}/${part}`);
        const expired = read.kind === "rows" ? read.rows.filter(row => this.isExpired(row)) : [];
        return this.delete(expired.slice(0, this.options.settings.sweepBatch));
    }

    private isExpired(row: Row): boolean {
        const { clock, settings } = this.options;
        const parsed = IntentRow.safeParse(row.value);
        return parsed.success && parsed.data.expiresAt + settings.marginMs < clock.wallTime();
    }

    private async delete(rows: readonly Row[]): Promise<number> {
        if (rows.length === 0) {
            return 0;
        }
        this.operations++;
        const outcome = await this.options.table.transact({
            operationId: `${this.options.writer}.sweep.${this.operations}` as OperationId,
            writes: rows.map(({ key, version }) => ({ key, expectedVersion: version, value: undefined })),
        });
        const deleted = outcome.kind === "committed" ? rows.length : 0;
        this.options.metrics.count("arbutusdoor_intents_deleted_total", {}, deleted);
        return deleted;
    }
}
