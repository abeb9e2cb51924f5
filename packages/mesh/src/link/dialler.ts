import type { Clock, HostId, Metrics, Milliseconds, RandomSource, Timer } from "@arbutusdoor/common";
import { getBackoff } from "../core/getBackoff.js";
import type { HandshakeResult } from "../handshake/handshakeResult.js";
import type { MeshSettings } from "../settings/meshSettings.js";

type DiallerOptions = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly settings: MeshSettings;
    readonly metrics: Metrics;
    /** Whether a link to the address, or to the host last seen there, is open. */
    readonly isLinked: (address: string, host: HostId | undefined) => boolean;
    /** Connects and runs the handshake. */
    readonly dial: (address: string) => Promise<HandshakeResult>;
};

/** An address to dial. */
type Seed = {
    readonly address: string;
    /** Whether it is never forgotten, as is the case for addresses from the settings. */
    readonly isPermanent: boolean;
    /** Host last seen there. */
    host: HostId | undefined;
    failures: number;
    /** When it was added or last answered. */
    lastContactAt: Milliseconds;
    /** Pending attempt, if any. */
    timer: Timer | undefined;
    isDialling: boolean;
    /** Whether it is this host itself. */
    isSelf: boolean;
};

/** Dials the known addresses to which no link is open, with exponential backoff. */
export class Dialler {
    private readonly options: DiallerOptions;
    private readonly seeds = new Map<string, Seed>();
    private isClosed = false;

    constructor(options: DiallerOptions) {
        this.options = options;
    }

    /** Adds addresses; those beyond the limit are dropped. Returns the number of known addresses. */
    add(addresses: readonly string[], isPermanent: boolean): number {
        for (const address of addresses) {
            const isBelowLimit = this.seeds.size < this.options.settings.maxSeeds;
            if (this.seeds.has(address)) {
                continue;
            }
            if (!isBelowLimit) {
                this.options.metrics.count("arbutusdoor_mesh_seeds_dropped_total");
                continue;
            }
            this.seeds.set(address, this.createSeed(address, isPermanent));
        }
        this.scheduleDials();
        return this.seeds.size;
    }

    /** Schedules an attempt for each address that has neither a link nor a scheduled attempt. */
    scheduleDials(): void {
        for (const seed of [...this.seeds.values()]) {
            this.schedule(seed, this.getBackoff(seed.failures));
        }
    }

    /** Stops dialling. */
    close(): void {
        this.isClosed = true;
        for (const seed of this.seeds.values()) {
            seed.timer?.cancel();
        }
    }

    private createSeed(address: string, isPermanent: boolean): Seed {
        return {
            address,
            isPermanent,
            host: undefined,
            failures: 0,
            lastContactAt: this.options.clock.now(),
            timer: undefined,
            isDialling: false,
            isSelf: false,
        };
    }

    private schedule(seed: Seed, wait: Milliseconds): void {
        const isScheduled = seed.isDialling || seed.timer !== undefined || seed.isSelf;
        if (this.isClosed || isScheduled || this.isLinked(seed)) {
            return;
        }
        seed.timer = this.options.clock.schedule(wait, () => {
            seed.timer = undefined;
            void this.attempt(seed);
        });
    }

    private async attempt(seed: Seed): Promise<void> {
        if (this.isLinked(seed)) {
            seed.failures = 0;
            return;
        }
        seed.isDialling = true;
        const result = await this.options.dial(seed.address);
        seed.isDialling = false;
        this.handleResult(seed, result);
    }

    private handleResult(seed: Seed, result: HandshakeResult): void {
        const { clock, settings } = this.options;
        if (result.kind === "open" || result.kind === "refused") {
            seed.host = result.hello?.identity.host ?? seed.host;
            seed.lastContactAt = clock.now();
        }
        if (result.kind === "open") {
            seed.failures = 0;
            return;
        }
        seed.failures++;
        if (result.kind === "refused") {
            this.handleRefusal(seed, result.reason);
            return;
        }
        const isForgotten = !seed.isPermanent && clock.now() - seed.lastContactAt >= settings.seedForgetMs;
        if (isForgotten) {
            this.seeds.delete(seed.address);
            return;
        }
        this.schedule(seed, this.getBackoff(seed.failures));
    }

    private handleRefusal(
        seed: Seed,
        reason: Extract<HandshakeResult, { kind: "refused"; }>["reason"],
    ): void {
        switch (reason) {
            case "sameHost":
                seed.isSelf = true;
                break;
            case "protocolVersion":
            case "cluster":
            case "secret":
                this.schedule(seed, this.options.settings.refusedRetryMs);
                break;
            case "duplicateLink":
            case "olderIncarnation":
            case "stopping":
                this.schedule(seed, this.getBackoff(seed.failures));
                break;
        }
    }

    private isLinked(seed: Seed): boolean {
        return this.options.isLinked(seed.address, seed.host);
    }

    private getBackoff(failures: number): Milliseconds {
        const { settings, random } = this.options;
        return getBackoff(failures, settings.reconnectMinMs, settings.reconnectMaxMs, random);
    }
}
