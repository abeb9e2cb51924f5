import type { Clock } from "@arbutusdoor/common";
import type { RangeServerSettings } from "./rangeServerSettings.js";

/** Heartbeats after which a silent server's entry is dropped. */
const LIFETIME_BEATS = 3;

/** The entry that a server keeps of itself in the store, by heartbeats. */
export class RegisteredEntry {
    private readonly clock: Clock;
    private readonly settings: RangeServerSettings;
    private readonly id: string;
    private readonly startedAt: number;
    private readonly getAddress: () => string;
    /** Whether the store cannot be reached. */
    isCutOff = false;
    private beats = 0;
    private isLeaving = false;

    /**
     * @param startedAt wall-clock time in ms
     * @param getAddress where the server listens
     */
    constructor(
        clock: Clock,
        settings: RangeServerSettings,
        id: string,
        startedAt: number,
        getAddress: () => string,
    ) {
        this.clock = clock;
        this.settings = settings;
        this.id = id;
        this.startedAt = startedAt;
        this.getAddress = getAddress;
    }

    /** Whether the entry says that the server is leaving. */
    get isAnnounced(): boolean {
        return this.isLeaving;
    }

    /** Writes the entry, and again at each heartbeat until the server leaves. */
    async begin(): Promise<void> {
        await this.write();
        this.clock.schedule(this.settings.heartbeatMs, () => {
            if (!this.isLeaving) {
                void this.begin();
            }
        });
    }

    /** Says that the server leaves. */
    announceLeaving(): Promise<void> {
        this.isLeaving = true;
        return this.write();
    }

    /** Removes the entry. */
    drop(): Promise<void> {
        return this.put(undefined);
    }

    private write(): Promise<void> {
        const { advertised, dataCentre, service, slots } = this.settings;
        this.beats++;
        return this.put({
            address: advertised ?? this.getAddress(),
            born: this.startedAt,
            info: { service, zone: dataCentre, slots, "config-version": "1" },
            status: {
                "state": this.isLeaving ? "draining" : "ready",
                "seq": this.beats,
                "warmup-left": "0ms",
            },
        });
    }

    private async put(value: object | undefined): Promise<void> {
        if (this.isCutOff) {
            return;
        }
        const lifetimeMs = LIFETIME_BEATS * this.settings.heartbeatMs;
        const row = { table: "servers", key: this.id, value: value && JSON.stringify(value), lifetimeMs };
        try {
            const body = JSON.stringify(row);
            await (await fetch(`http://${this.settings.store}/rows`, { method: "POST", body })).text();
        }
        catch (error) {
            process.stderr.write(`the entry was not written: ${(error as Error).message}\n`);
        }
    }
}
