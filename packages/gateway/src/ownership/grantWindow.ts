import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";

/**
 * Grants without an answer yet, of one service. With more, a coordinator of a third of a core answers its own timers too late: grants end
 * unanswered, and servers that answer are taken for unresponsive.
 */
const MAX_GRANTS = 96;
/** Grants without an answer yet to one server: as many as it gets connections. Further ones would only wait, and their time would run. */
const MAX_GRANTS_PER_SERVER = 3;

/** Limits the grants that are in flight at the same time. */
export class GrantWindow {
    private readonly inFlight = new Map<string, number>();
    private total = 0;

    /** Whether a grant may be sent to a holder now. */
    hasRoom(holder: KeyHolder): boolean {
        return this.total < MAX_GRANTS && this.count(holder) < MAX_GRANTS_PER_SERVER;
    }

    /** Whether no grant to a holder is in flight, and there is room for one. */
    isUnused(holder: KeyHolder): boolean {
        return this.total < MAX_GRANTS && this.count(holder) === 0;
    }

    /** Counts a grant that is sent. */
    add(holder: KeyHolder): void {
        this.total++;
        this.inFlight.set(getHolderName(holder), this.count(holder) + 1);
    }

    /** Counts the end of a grant. */
    remove(holder: KeyHolder): void {
        const name = getHolderName(holder);
        const left = this.count(holder) - 1;
        this.total--;
        if (left > 0) {
            this.inFlight.set(name, left);
        }
        else {
            this.inFlight.delete(name);
        }
    }

    private count(holder: KeyHolder): number {
        return this.inFlight.get(getHolderName(holder)) ?? 0;
    }
}
