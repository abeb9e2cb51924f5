import type { Logger, Milliseconds, ServerId } from "@arbutusdoor/common";
import type { ServerNotice } from "../backends/serverNotice.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { QuietServers } from "./quietServers.js";
import type { TrafficLimits } from "./trafficLimits.js";

const MAX_LOGGED_SERVERS = 4_096;

/**
 * Decides whether a server may get a request now: it is not about to end, has not asked this host for a pause, is not in an evacuated data
 * centre, and is not cold beyond this host's quota. Asked when a request is routed and again when it gets its connection.
 */
export class ServerAdmission {
    private readonly directory: ServerDirectory;
    private readonly quiet: QuietServers;
    private readonly getDrainMs: () => Milliseconds;
    private readonly logger: Logger;
    private readonly limits: TrafficLimits | undefined;
    /** Servers with a malformed header field that was logged. */
    private readonly logged = new Set<ServerId>();

    /**
     * @param getDrainMs how long a leaving server may still get requests
     * @param limits limits for cold servers and evacuated data centres; `undefined` when there are none
     */
    constructor(
        directory: ServerDirectory,
        quiet: QuietServers,
        getDrainMs: () => Milliseconds,
        logger: Logger,
        limits?: TrafficLimits,
    ) {
        this.directory = directory;
        this.quiet = quiet;
        this.getDrainMs = getDrainMs;
        this.logger = logger;
        this.limits = limits;
    }

    /** Whether a request may be sent to the server now. */
    mayReceive(server: RegisteredServer): boolean {
        return !this.isDeparted(server) && this.getQuietTime(server) === 0 && this.getColdWait(server) === 0;
    }

    /** Whether a request may be routed to the server of a pooled service. */
    mayReceivePooled(server: RegisteredServer): boolean {
        return !this.limits?.evacuation.isEvacuated(server) && this.mayReceive(server);
    }

    /**
     * Takes the permission to send a request, which must then be sent: a cold server's quota counts it.
     *
     * @param isForOwner whether the request is for a key of the server
     */
    takePermission(server: RegisteredServer, isForOwner: boolean): boolean {
        const isAdmitted = isForOwner ? this.mayReceive(server) : this.mayReceivePooled(server);
        return isAdmitted && this.limits?.cold.take(server) !== false;
    }

    /** Whether the server has been leaving, or its data centre been evacuated, for so long that it gets no more requests. */
    isDeparted(server: RegisteredServer): boolean {
        const leavingMs = this.directory.getMaxLeavingTime(server.id);
        return (leavingMs !== undefined && leavingMs >= this.getDrainMs())
            || this.limits?.evacuation.isOver(server) === true;
    }

    /** Returns how long this host must not send to a cold server; 0 when it may. */
    getColdWait(server: RegisteredServer): Milliseconds {
        return this.limits?.cold.getWait(server) ?? 0;
    }

    /** Returns the same for requests for its keys, which have moved by then. */
    getOwnerWait(server: RegisteredServer): Milliseconds {
        return this.limits?.cold.getOwnerWait(server) ?? 0;
    }

    /** Returns how long a server of a pooled service gets no requests from this host; `undefined` while its data centre is evacuated. */
    getPooledWait(server: RegisteredServer): Milliseconds | undefined {
        return this.limits?.evacuation.isEvacuated(server)
            ? undefined
            : Math.max(this.getQuietTime(server), this.getColdWait(server));
    }

    /** Returns the factor by which a server counts as more expensive because it is cold. */
    getCostFactor(server: RegisteredServer): number {
        return this.limits?.cold.getCostFactor(server) ?? 1;
    }

    /** Returns how much longer the server wants no requests from this host; 0 when it takes them. */
    getQuietTime(server: RegisteredServer): Milliseconds {
        return this.quiet.getTimeLeft(server);
    }

    /** Returns the delay after which a request for a server that wants none may come back; it differs from request to request. */
    getReturnDelay(quietTime: Milliseconds): Milliseconds {
        return this.quiet.spread(quietTime);
    }

    /** Records that a request for any server of a service was routed to this one. */
    recordRouted(server: RegisteredServer): void {
        this.limits?.cold.recordRouted(server);
    }

    /** Records what an answer says of its server. */
    recordNotice(server: RegisteredServer, { coldMs, ignored, isLeaving, quietMs }: ServerNotice): void {
        if (coldMs !== undefined) {
            this.directory.recordCold(server, coldMs);
        }
        if (isLeaving) {
            this.directory.recordAnnouncement(server, "answer");
        }
        if (quietMs !== undefined) {
            this.quiet.record(server, quietMs);
        }
        if (ignored.length > 0 && this.logged.size < MAX_LOGGED_SERVERS && !this.logged.has(server.id)) {
            this.logged.add(server.id);
            this.logger.log("serverHeaderIgnored", { server: server.id, fields: ignored.join(", ") });
        }
    }
}
