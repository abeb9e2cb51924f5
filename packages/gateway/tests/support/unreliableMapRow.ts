import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { MapWrite } from "./mapWrite.js";

/** The row of a map in a store that may refuse a write, lose its answer, or let it take effect late. */
export class UnreliableMapRow {
    private committed: KeyMap;
    private current = 0;
    /** The write whose end the coordinator awaits. */
    private write: MapWrite | undefined;
    /** Writes that ended without an answer and may take effect yet. */
    private open: readonly MapWrite[] = [];

    constructor(map: KeyMap) {
        this.committed = map;
    }

    /** The map that a reader finds. */
    get map(): KeyMap {
        return this.committed;
    }

    get version(): number {
        return this.current;
    }

    get isBusy(): boolean {
        return this.write !== undefined;
    }

    /** Whether a write may take effect that has ended for the coordinator. */
    get hasPendingWrites(): boolean {
        return this.open.length > 0;
    }

    /** Begins a write. */
    begin(write: MapWrite): void {
        this.write = write;
    }

    /** Lets writes take effect. Returns the awaited one if it has ended for the coordinator. */
    applyWrites(now: Milliseconds): MapWrite | undefined {
        for (const write of this.listWaiting()) {
            if (write.takesEffectAt <= now && write.version === this.current) {
                this.commit(write.map);
            }
        }
        this.open = this.open.filter(({ takesEffectAt }) => takesEffectAt > now);
        if (!this.write || this.write.endsAt > now) {
            return undefined;
        }
        const ended = this.write;
        this.write = undefined;
        if (ended.kind === "unanswered" && ended.version === this.current) {
            this.open = [...this.open, ended];
        }
        return ended;
    }

    /**
     * Another coordinator reads the row and writes it back under its term. A write that was under way took effect before, or never
     * will.
     */
    takeOver(term: number, hasTakenEffect: () => boolean): void {
        for (const write of this.listWaiting()) {
            if (write.version === this.current && hasTakenEffect()) {
                this.commit(write.map);
            }
        }
        this.write = undefined;
        this.open = [];
        this.commit({ ...this.committed, term });
    }

    private listWaiting(): readonly MapWrite[] {
        return [...this.open, ...this.write ? [this.write] : []].filter(({ kind }) => kind !== "refused");
    }

    private commit(map: KeyMap): void {
        this.committed = map;
        this.current++;
    }
}
