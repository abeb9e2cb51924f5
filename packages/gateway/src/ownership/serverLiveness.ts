import type { Logger, Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { HolderState } from "./holderState.js";
import type { KeyHolder } from "./keyHolder.js";

const MAX_HOLDERS = 4_096;

/** Where and when an order was sent, and when its outcome was known. */
type OrderContact = {
    /** The entry whose address the order was sent to; `undefined` when it was not sent. */
    readonly server: RegisteredServer | undefined;
    readonly sentAt: Milliseconds;
    readonly now: Milliseconds;
};

/** Determines whether an incarnation of a server runs, from the registry and from the answers to orders. */
export class ServerLiveness {
    private readonly directory: ServerDirectory;
    private readonly logger: Logger;
    /** When another server first answered at the address of an incarnation that has not answered there since. */
    private readonly refusedAt = new Map<string, Milliseconds>();
    private readonly dead = new Set<string>();
    /** Owners in a predecessor's map that have not answered this coordinator. */
    private readonly inherited = new Set<string>();

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
        if (this.dead.has(getHolderName(holder)) && this.isAddressKnown(holder)) {
            return "dead";
        }
        if (newest && newest.startedAt > holder.startedAt) {
            return "replaced";
        }
        const isLeaving = !newest || this.directory.getLeavingTime(holder.id) !== undefined;
        return isLeaving ? "leaving" : "live";
    }

    /** Forgets answers of other servers that prove nothing yet: a coordinator in between may have had plain answers of the holders. */
    forgetRefusals(): void {
        this.refusedAt.clear();
    }

    /** Records holders to which predecessors may have sent grants, at addresses that this host may not know. */
    recordInherited(holders: readonly KeyHolder[]): void {
        holders.forEach(holder => this.inherited.add(getHolderName(holder)));
        forgetOldest(this.inherited);
    }

    /**
     * Records the outcome of an order. Only answers of another server to two orders in turn, at the address under which this incarnation
     * itself was registered, prove that it has ended; a plain answer of its own contradicts them. Refused connections prove nothing,
     * however long and with whatever other signs: a partition of this one server from the hosts and the store looks the same.
     */
    recordOutcome(holder: KeyHolder, outcome: OrderOutcome, { now, sentAt, server }: OrderContact): void {
        if (server?.startedAt !== holder.startedAt) {
            return;
        }
        const name = getHolderName(holder);
        if (outcome.kind === "done" || outcome.kind === "fenced") {
            this.refusedAt.delete(name);
            this.dead.delete(name);
            this.inherited.delete(name);
        }
        if (outcome.kind !== "otherServer" || this.dead.has(name)) {
            return;
        }
        const refusedAt = this.refusedAt.get(name);
        if (refusedAt === undefined) {
            this.refusedAt.set(name, now);
            forgetOldest(this.refusedAt);
        }
        else if (sentAt >= refusedAt) {
            this.dead.add(name);
            forgetOldest(this.dead);
            this.logger.log("holderDead", { holder: name, reason: "another server has its address" });
        }
    }

    /**
     * Whether all grants to a holder went to one address that is known. An entry of another writer may name a wrong one, which the entry of a
     * server that runs replaces within a heartbeat; predecessors may have known only the right one.
     */
    private isAddressKnown(holder: KeyHolder): boolean {
        return !this.directory.hasMoved(holder)
            && (!this.inherited.has(getHolderName(holder)) || this.directory.isMissing(holder.id));
    }
}

/** Bounds a collection whose keys are in the order of their insertion. */
function forgetOldest(holders: Set<string> | Map<string, Milliseconds>): void {
    for (const name of holders.keys()) {
        if (holders.size <= MAX_HOLDERS) {
            return;
        }
        holders.delete(name);
    }
}
