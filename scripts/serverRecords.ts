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

    /** What a server that runs has recorded so far. Rejects with what is known of a server that does not say. */
    async read({ control, program }: RecordedServer): Promise<ServerJournal> {
        try {
            const response = await fetch(`http://${control}/journal`);
            return ServerJournal.parse(await response.json());
        }
        catch (error) {
            // The end of a process is noticed after that of its connections.
            await this.clock.sleep(POLL_MS);
            const { cause, message } = error as Error;
            const reason = cause instanceof Error ? cause.message : message;
            const state = program.hasEnded ? "it has ended" : "it runs";
            const last = program.lines.at(-1) ?? "nothing";
            throw new Error(
                `the journal of ${program.name} could not be read (${reason}); ${state}, and printed last: ${last}`,
                { cause: error },
            );
        }
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
