import { fencingTokens } from "@arbutusdoor/policy";
import type { KeyMap } from "./keyMap.js";
import type { ServiceCoordinatorParts } from "./serviceCoordinatorParts.js";

/** The term in which a host coordinates a service, and what follows from its era of the store. */
export class CoordinationTerm {
    private readonly parts: ServiceCoordinatorParts;
    private current: number;

    constructor(parts: ServiceCoordinatorParts) {
        this.parts = parts;
        this.current = parts.term;
    }

    /** The term of the lease. */
    get value(): number {
        return this.current;
    }

    /** Era of the store in which the lease was taken. */
    get era(): number {
        return fencingTokens.getEra(this.current);
    }

    /** Begins the term of a lease in a new era. */
    change(term: number): void {
        this.current = term;
    }

    /** Whether the store was restored since a term was read. */
    isOutdated(term: number): boolean {
        return term !== this.current || this.parts.lease.storeEra > this.era;
    }

    /** Returns the token that follows those of a map; `undefined` when there is none. */
    getNextFence({ fence }: Pick<KeyMap, "fence">): number | undefined {
        const next = fencingTokens.getNext(fence, this.era);
        if (next === undefined) {
            const { logger, service } = this.parts;
            logger.log("keysNotWritten", { service, outcome: "noToken" });
        }
        return next;
    }
}
