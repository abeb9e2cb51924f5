import type { Logger } from "@arbutusdoor/common";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { HolderState } from "./holderState.js";
import type { KeyHolder } from "./keyHolder.js";

const MAX_HOLDERS = 4_096;

/** Determines whether an incarnation of a server runs, from the registry and from the answers to orders. */
export class ServerLiveness {
    private readonly directory: ServerDirectory;
    private readonly logger: Logger;
    private readonly dead = new Set<string>();

    constructor(directory: ServerDirectory, logger: Logger) {
        this.directory = directory;
        this.logger = logger;
    }

    /**
     * Returns what is known about a holder now. A missing registry entry proves nothing: a server that the store cannot see may go on
     * serving.
     */
    getState(holder: KeyHolder): HolderState {
        const newest = this.directory.findNewest(holder.id);
        if (this.dead.has(getHolderName(holder))) {
            return "dead";
        }
        if (newest && newest.startedAt > holder.startedAt) {
            return "replaced";
        }
        const isLeaving = !newest || this.directory.getLeavingTime(holder.id) !== undefined;
        return isLeaving ? "leaving" : "live";
    }

    /**
     * Records the outcome of an order. Only an answer of another server at the address proves that a server has ended. Refused connections
     * do not, however long and with whatever other signs: a partition of this one server from the hosts and the store looks the same.
     */
    recordOutcome(holder: KeyHolder, outcome: OrderOutcome): void {
        const name = getHolderName(holder);
        if (outcome.kind !== "otherServer" || this.dead.has(name)) {
            return;
        }
        this.dead.add(name);
        if (this.dead.size > MAX_HOLDERS) {
            const [oldest] = this.dead;
            this.dead.delete(oldest!);
        }
        this.logger.log("holderDead", { holder: name, reason: "another server has its address" });
    }
}
