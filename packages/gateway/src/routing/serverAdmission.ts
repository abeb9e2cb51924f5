import type { Logger, Milliseconds, ServerId } from "@arbutusdoor/common";
import type { ServerNotice } from "../backends/serverNotice.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { QuietServers } from "./quietServers.js";

const MAX_LOGGED_SERVERS = 4_096;

/**
 * Decides whether a server may get a request now: it is not about to end, and has not asked this host for a pause. Asked when a request is
 * routed and again when it gets its connection.
 */
export class ServerAdmission {
    private readonly directory: ServerDirectory;
    private readonly quiet: QuietServers;
    private readonly getDrainMs: () => Milliseconds;
    private readonly logger: Logger;
    /** Servers with a malformed header field that was logged. */
    private readonly logged = new Set<ServerId>();

    /** @param getDrainMs how long a leaving server may still get requests */
    constructor(
        directory: ServerDirectory,
        quiet: QuietServers,
        getDrainMs: () => Milliseconds,
        logger: Logger,
    ) {
        this.directory = directory;
        this.quiet = quiet;
        this.getDrainMs = getDrainMs;
        this.logger = logger;
    }

    /** Whether a request may be sent to the server now. */
    mayReceive(server: RegisteredServer): boolean {
        return !this.isDeparted(server) && this.getQuietTime(server) === 0;
    }

    /** Whether the server has been leaving for so long that it gets no more requests. */
    isDeparted({ id }: RegisteredServer): boolean {
        const leavingMs = this.directory.getMaxLeavingTime(id);
        return leavingMs !== undefined && leavingMs >= this.getDrainMs();
    }

    /** Returns how much longer the server wants no requests from this host; 0 when it takes them. */
    getQuietTime(server: RegisteredServer): Milliseconds {
        return this.quiet.getTimeLeft(server);
    }

    /** Returns the delay after which a request for a server that wants none may come back; it differs from request to request. */
    getReturnDelay(quietTime: Milliseconds): Milliseconds {
        return this.quiet.spread(quietTime);
    }

    /** Records what an answer says of its server. */
    recordNotice(server: RegisteredServer, { ignored, isLeaving, quietMs }: ServerNotice): void {
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
