import type { Milliseconds } from "@arbutusdoor/common";
import type { Evacuations } from "../discovery/evacuations.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";

/** Requests that are sent this long before the bound have arrived by then, also over a slow link between data centres. */
const MARGIN_MS: Milliseconds = 1_000;
/** Bound of a deployment that states none. */
const DEFAULT_BOUND_MS: Milliseconds = 5_000;

/** Which servers get no requests because their data centre is evacuated. */
export class EvacuationLimit {
    private readonly evacuations: Evacuations;
    private readonly getBoundMs: () => Milliseconds | undefined;

    /** @param getBoundMs returns the time after which the servers must get no more requests; `undefined` when none is set */
    constructor(evacuations: Evacuations, getBoundMs: () => Milliseconds | undefined) {
        this.evacuations = evacuations;
        this.getBoundMs = getBoundMs;
    }

    /** Whether the server's data centre is evacuated: a pooled server gets nothing any more, an owner gives up its keys. */
    isEvacuated({ dataCentre }: RegisteredServer): boolean {
        return this.evacuations.isEvacuated(dataCentre);
    }

    /** Whether the server gets no requests for keys any more either. */
    isOver({ dataCentre }: RegisteredServer): boolean {
        const time = this.evacuations.getMaxTime(dataCentre);
        return time !== undefined && time >= (this.getBoundMs() ?? DEFAULT_BOUND_MS) - MARGIN_MS;
    }
}
