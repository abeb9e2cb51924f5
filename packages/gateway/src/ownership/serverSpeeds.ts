import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";

const MS_PER_S = 1_000;
/** Weight of one answer in the running mean: about the last 40 answers count. */
const ANSWER_WEIGHT = 0.025;
const MAX_SERVERS = 4_096;
/** Assumed before any server has answered. */
const DEFAULT_DURATION_MS = 200;
/** A server that has just started works at about half its speed. */
const COLD_FACTOR = 0.5;

/** Records how long servers take for an answer, from the reports of all hosts. */
export class ServerSpeeds {
    private readonly durations = new Map<ServerId, Milliseconds>();

    /** Records answers of a server. */
    add(server: ServerId, answers: number, totalMs: Milliseconds): void {
        if (answers <= 0) {
            return;
        }
        const mean = totalMs / answers;
        const known = this.durations.get(server) ?? mean;
        const weight = 1 - (1 - ANSWER_WEIGHT) ** answers;
        this.durations.delete(server);
        this.durations.set(server, known + weight * (mean - known));
        if (this.durations.size > MAX_SERVERS) {
            const [oldest] = this.durations.keys();
            this.durations.delete(oldest as ServerId);
        }
    }

    /** Returns the requests a second that a server can process; before its first answer the median duration of all servers counts. */
    getCapacity(server: RegisteredServer, isCold: boolean): number {
        const duration = this.durations.get(server.id) ?? this.getMedian();
        return server.slots * MS_PER_S / duration * (isCold ? COLD_FACTOR : 1);
    }

    private getMedian(): Milliseconds {
        const known = [...this.durations.values()].sort((one, other) => one - other);
        return known[known.length >> 1] ?? DEFAULT_DURATION_MS;
    }
}
