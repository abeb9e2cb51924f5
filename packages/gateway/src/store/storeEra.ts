/** Handles a new era of the store. */
type EraListener = (era: number, before: number) => void;

/**
 * The newest era of the store that this host knows of. The era rises when the store comes back from an older copy; a store that states none is
 * in era 0.
 */
export class StoreEra {
    private newest: number | undefined;
    private readonly listeners = new Set<EraListener>();

    /** The newest known era. */
    get current(): number {
        return this.newest ?? 0;
    }

    /** Records an era that the store or another host has stated. Returns whether it is the newest known one. */
    record(era = 0): boolean {
        const before = this.newest;
        if (before === undefined || era > before) {
            this.newest = era;
            if (era > 0) {
                this.listeners.forEach(listener => listener(era, before ?? 0));
            }
        }
        return era === this.newest;
    }

    /** Calls the listener with each new era, before what was read in it is used. */
    onRise(listener: EraListener): void {
        this.listeners.add(listener);
    }
}
