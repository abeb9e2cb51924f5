import type { Clock, DataCentreId, Logger, Metrics, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { PoolChoice, SpillState } from "@arbutusdoor/policy";
import type { RegisteredServer } from "../discovery/registeredServer.js";

/** A change of a share by less than this is not logged. */
const NOTABLE_CHANGE = 0.2;
/** Shortest time between two such lines of one route. */
const LOG_INTERVAL_MS = 5_000;
const MAX_ROUTES = 256;
const PERCENT = 100;

/** Dependencies of the traffic records. */
type TrafficParts = {
    readonly dataCentre: DataCentreId;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Counts and logs which requests stay in this host's data centre and which leave it. */
export class DataCentreTraffic {
    private readonly parts: TrafficParts;
    private readonly logged = new Map<string, { share: number; at: Milliseconds; }>();

    constructor(parts: TrafficParts) {
        this.parts = parts;
    }

    /** Counts an attempt by the data centre of its server and the reason for the choice. */
    recordChoice({ dataCentre, service }: RegisteredServer, reason: PoolChoice["reason"] | "owner"): void {
        const to = dataCentre === this.parts.dataCentre ? "local" : "remote";
        this.parts.metrics.count("arbutusdoor_data_centre_requests_total", { service, to, reason });
    }

    /** Counts the bytes of an answer's body if it comes from another data centre. */
    recordAnswer({ dataCentre, service }: RegisteredServer, bytes: number): void {
        if (bytes > 0 && dataCentre !== this.parts.dataCentre) {
            this.parts.metrics.count("arbutusdoor_remote_answer_bytes_total", { service }, bytes);
        }
    }

    /** Logs the share of a route's requests that leaves, when it has changed notably. */
    recordShare(service: ServiceId, route: string, state: SpillState | undefined): void {
        if (!state) {
            return;
        }
        const name = `${service}/${route}`;
        const before = this.logged.get(name);
        const isNotable = Math.abs(state.share - (before?.share ?? 0)) >= NOTABLE_CHANGE
            || (before !== undefined && before.share > 0 && state.share === 0);
        const now = this.parts.clock.now();
        const isDue = before === undefined
            ? this.logged.size < MAX_ROUTES
            : now - before.at >= LOG_INTERVAL_MS;
        if (isNotable && isDue) {
            this.logged.set(name, { share: state.share, at: now });
            this.parts.logger.log("spillShareChanged", {
                service,
                route,
                sharePercent: Math.round(state.share * PERCENT),
                shortagePercent: Math.round(state.shortage * PERCENT),
            });
        }
    }
}
