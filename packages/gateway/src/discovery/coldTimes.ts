import type { Clock, Milliseconds, ServerId } from "@arbutusdoor/common";
import type { RegisteredServer } from "./registeredServer.js";

const MAX_SERVERS = 4_096;
const NEVER = { entry: -Infinity, answer: -Infinity };

/** By what a host learned that a server is cold: its registry entry or one of its answers. */
type ColdSource = "entry" | "answer";

/** Handles a server that was not known to be cold. */
type ColdListener = (server: RegisteredServer, timeLeft: Milliseconds, source: ColdSource) => void;

/** How long an incarnation of a server stays cold, by each source. */
type ColdTime = { readonly startedAt: number; readonly until: Record<ColdSource, Milliseconds>; };

/**
 * How long servers stay slow and tolerate few requests. The longer of what the entry and the answers of an incarnation say applies: either
 * may be older than the other.
 */
export class ColdTimes {
    private readonly clock: Clock;
    private readonly times = new Map<ServerId, ColdTime>();
    private readonly listeners = new Set<ColdListener>();

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Records how much longer the newest incarnation of a server is cold; 0 when it is warm. */
    record(server: RegisteredServer, timeLeft: Milliseconds, source: ColdSource): void {
        const { id, startedAt } = server;
        const now = this.clock.now();
        const before = this.times.get(id);
        const known = before?.startedAt === startedAt ? before.until : NEVER;
        const until = { ...known, [source]: now + timeLeft };
        this.times.delete(id);
        // Warm servers have no entry, so that a decision about many of them costs little.
        if (Math.max(until.entry, until.answer) > now) {
            this.times.set(id, { startedAt, until });
        }
        if (this.times.size > MAX_SERVERS) {
            const [oldest] = this.times.keys();
            this.times.delete(oldest!);
        }
        if (timeLeft > 0 && Math.max(known.entry, known.answer) <= now) {
            this.listeners.forEach(listener => listener(server, timeLeft, source));
        }
    }

    /** Returns how much longer a server is cold; 0 when it is warm. */
    getTimeLeft(id: ServerId): Milliseconds {
        const until = this.times.get(id)?.until;
        return until ? Math.max(0, Math.max(until.entry, until.answer) - this.clock.now()) : 0;
    }

    /** Calls the listener with each server that turns cold. */
    onCold(listener: ColdListener): void {
        this.listeners.add(listener);
    }
}
