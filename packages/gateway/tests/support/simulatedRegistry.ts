import type { Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";

/** Copies kept to go back to. */
const MAX_COPIES = 50;

/** The entries of simulated servers in the store's registry. */
export class SimulatedRegistry {
    private current = 0;
    private readonly entries = new Map<string, RegisteredServer>();
    /** Entries as they were at each change. */
    private copies: readonly {
        readonly at: Milliseconds;
        readonly version: number;
        readonly entries: ReadonlyMap<string, RegisteredServer>;
    }[] = [];

    /** Version of the last change. */
    get version(): number {
        return this.current;
    }

    /** Changes or removes an entry. */
    set(id: string, server: RegisteredServer | undefined, now: Milliseconds): void {
        this.current++;
        if (server) {
            this.entries.set(id, server);
        }
        else {
            this.entries.delete(id);
        }
        const copy = { at: now, version: this.current, entries: new Map(this.entries) };
        this.copies = [...this.copies.slice(-MAX_COPIES), copy];
    }

    /** Goes back to a copy that is no newer than `time`. Returns the entries that were lost; absent ones as `undefined`. */
    restore(time: Milliseconds): ReadonlyMap<string, RegisteredServer | undefined> {
        const copy = this.copies.findLast(({ at }) => at <= time);
        const before = new Map(this.entries);
        const restored = copy?.entries ?? new Map<string, RegisteredServer>();
        this.current = copy?.version ?? 0;
        this.entries.clear();
        restored.forEach((server, id) => this.entries.set(id, server));
        const ids = [...new Set([...before.keys(), ...restored.keys()])];
        return new Map(
            ids.filter(id => before.get(id) !== restored.get(id)).map(id => [id, before.get(id)]),
        );
    }

    /** Returns all entries as rows. */
    list() {
        return [...this.entries].map(([key, value]) => ({
            key,
            version: this.current,
            content: { kind: "value", value } as const,
        }));
    }
}
