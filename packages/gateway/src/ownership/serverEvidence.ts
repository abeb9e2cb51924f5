import type { Logger, Milliseconds } from "@arbutusdoor/common";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { HolderState } from "./holderState.js";
import type { KeyHolder } from "./keyHolder.js";

const MAX_HOLDERS = 4_096;
/** Refused connections must have been seen over this long. */
const REFUSED_MS = 400;

/** Tells whether a life of a server goes on, from the registry and from how it answers orders. */
export class ServerEvidence {
    private readonly directory: ServerDirectory;
    private readonly logger: Logger;
    private readonly dead = new Set<string>();
    private readonly refusedSince = new Map<string, Milliseconds>();

    constructor(directory: ServerDirectory, logger: Logger) {
        this.directory = directory;
        this.logger = logger;
    }

    /**
     * What is known of a holder now. A newer life of the same server proves the end of the older ones. That an entry is gone proves
     * nothing alone: a server that the store cannot see may go on serving.
     */
    getState(holder: KeyHolder): HolderState {
        const newest = this.directory.findNewest(holder.id);
        if (this.dead.has(getHolderName(holder)) || (newest && newest.startedAt > holder.startedAt)) {
            return "dead";
        }
        const isLeaving = !newest || this.directory.getLeavingTime(holder.id) !== undefined;
        return isLeaving ? "leaving" : "live";
    }

    /** Takes the outcome of an order in. */
    note(holder: KeyHolder, outcome: OrderOutcome, now: Milliseconds): void {
        const name = getHolderName(holder);
        if (outcome.kind === "otherServer") {
            this.prove(name, "another server has its address");
        }
        else if (outcome.kind === "notListening") {
            this.noteRefused(holder, name, now);
        }
        else if (outcome.kind !== "unknown") {
            this.refusedSince.delete(name);
        }
    }

    /**
     * Nobody listening at the address is taken for the end only together with a missing entry: a partition may answer for the server,
     * and a crashed one's entry goes within three heartbeats.
     */
    private noteRefused(holder: KeyHolder, name: string, now: Milliseconds): void {
        const since = this.refusedSince.get(name) ?? now;
        this.refusedSince.set(name, since);
        forgetOldest(this.refusedSince.keys(), this.refusedSince);
        if (now - since >= REFUSED_MS && this.directory.isMissing(holder.id)) {
            this.prove(name, "nobody listens at its address and its entry is gone");
        }
    }

    private prove(name: string, reason: string): void {
        if (!this.dead.has(name)) {
            this.dead.add(name);
            forgetOldest(this.dead.keys(), this.dead);
            this.logger.log("holderDead", { holder: name, reason });
        }
    }
}

function forgetOldest(
    names: Iterator<string>,
    collection: { readonly size: number; delete(name: string): unknown; },
): void {
    if (collection.size > MAX_HOLDERS) {
        collection.delete(names.next().value as string);
    }
}
