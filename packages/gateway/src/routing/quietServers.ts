import type {
    Clock,
    Logger,
    Metrics,
    Milliseconds,
    RandomSource,
    ServerId,
    Timer,
} from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";

const MAX_SERVERS = 4_096;
/** Requests return to a server over this time after its quiet time has ended, not all at once. */
const RETURN_SPREAD_MS = 300;

/** A server that wants no requests for a time. */
type QuietServer = {
    readonly startedAt: number;
    readonly until: Milliseconds;
    readonly end: Timer;
};

/** The backend servers that want no requests from this host for a time. Entries end by themselves. */
export class QuietServers {
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly logger: Logger;
    private readonly metrics: Metrics;
    private readonly servers = new Map<ServerId, QuietServer>();

    constructor(clock: Clock, random: RandomSource, logger: Logger, metrics: Metrics) {
        this.clock = clock;
        this.random = random;
        this.logger = logger;
        this.metrics = metrics;
        metrics.gauge("arbutusdoor_quiet_servers", () => this.servers.size);
    }

    /** Records that a server wants no requests for a time, counted from now. A longer time that runs already stays. */
    record({ id, service, startedAt }: RegisteredServer, duration: Milliseconds): void {
        const until = this.clock.now() + duration;
        const known = this.servers.get(id);
        const isSame = known?.startedAt === startedAt;
        if (duration <= 0 || (isSame && known!.until >= until)) {
            return;
        }
        known?.end.cancel();
        this.servers.delete(id);
        const end = this.clock.schedule(duration, () => {
            this.servers.delete(id);
            this.logger.log("serverQuietEnded", { server: id, service });
        });
        this.servers.set(id, { startedAt, until, end });
        this.forgetOldest();
        this.metrics.count("arbutusdoor_server_quiet_total", { service });
        if (!isSame) {
            this.logger.log("serverQuiet", { server: id, service, forMs: Math.round(duration) });
        }
    }

    /** Returns how much longer a server wants no requests; 0 when it takes them. */
    getTimeLeft({ id, startedAt }: RegisteredServer): Milliseconds {
        const quiet = this.servers.get(id);
        return quiet?.startedAt === startedAt ? Math.max(0, quiet.until - this.clock.now()) : 0;
    }

    /** Returns when a request may come back that cannot be sent for some time: a little later, differently for each. */
    spread(timeLeft: Milliseconds): Milliseconds {
        return timeLeft + this.random.nextFraction() * RETURN_SPREAD_MS;
    }

    private forgetOldest(): void {
        for (const [id, { end }] of this.servers) {
            if (this.servers.size <= MAX_SERVERS) {
                return;
            }
            end.cancel();
            this.servers.delete(id);
        }
    }
}
