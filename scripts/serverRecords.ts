import type { Clock } from "@arbutusdoor/common";
import { type CallerEntry, observe, ServerJournal, type Verdict } from "@arbutusdoor/standins";
import type { ChildProgram } from "./childProgram.js";
import { endJournalAt } from "./endJournalAt.js";

const POLL_MS = 25;
/** Programs on one machine read one clock; the rest is the time between an event and its record. */
const TOLERANCE_MS = 25;

/** A backend server's program with the address where its journal is read. */
type RecordedServer = { readonly program: ChildProgram; readonly control: string; };

/** What backend servers recorded, kept over their ends, for the observer. */
export class ServerRecords {
    private readonly clock: Clock;
    private readonly journals: ServerJournal[] = [];
    private readonly lost: string[] = [];

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** What a server that runs has recorded so far. */
    async read({ control }: RecordedServer): Promise<ServerJournal> {
        const response = await fetch(`http://${control}/journal`);
        return ServerJournal.parse(await response.json());
    }

    /** Kills a server; its journal up to then is kept, and what it did in its last moment is lost. */
    async kill(name: string, server: RecordedServer): Promise<void> {
        const journal = await this.read(server);
        await server.program.kill();
        this.lost.push(name);
        this.journals.push(endJournalAt(journal, this.clock.wallTime()));
    }

    /** Asks a server to stop, and resolves with its last journal once its process has ended. */
    async stop(name: string, server: RecordedServer): Promise<ServerJournal> {
        let journal = await this.read(server);
        server.program.signal("SIGTERM");
        while (!server.program.hasEnded) {
            journal = await this.read(server).catch(() => journal);
            await this.clock.sleep(POLL_MS);
        }
        this.lost.push(name);
        // What ran at the last reading has ended with the process.
        this.journals.push(endJournalAt(journal, this.clock.wallTime()));
        return journal;
    }

    /** The observer's verdict over everything up to now. */
    async judge(
        servers: Iterable<RecordedServer>,
        calls: readonly CallerEntry[],
        rules: Pick<Parameters<typeof observe>[2], "notices" | "stops"> = {},
    ): Promise<Verdict> {
        const live = [...servers].filter(({ program }) => !program.hasEnded);
        const journals = await Promise.all(live.map(server => this.read(server)));
        return observe([...this.journals, ...journals], calls, {
            toleranceMs: TOLERANCE_MS,
            lostServers: this.lost,
            ...rules,
        });
    }
}
