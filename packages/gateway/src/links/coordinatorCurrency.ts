import type { Milliseconds } from "@arbutusdoor/common";
import type { StoreClock } from "../store/storeClock.js";
import type { CoordinatorMessage } from "./coordinatorMessage.js";
import type { TableName } from "./tableName.js";

/** A coordinator whose lease has not been renewed for longer is about to lose it. */
const RENEWAL_AGE_LIMIT_MS = 1_500;

/**
 * Determines whether the coordinator's messages are a substitute for reading the store: its lease is renewed, and its reads of every table are
 * recent. The renewals alone say nothing about the reads, which use other connections.
 */
export class CoordinatorCurrency {
    private readonly storeClock: StoreClock;
    private readonly getLimit: () => Milliseconds;
    private renewalAge: Milliseconds = Infinity;
    /** Store time up to which the coordinator knew each table; `undefined` for a coordinator of an earlier version, which does not say. */
    private completeAt: Readonly<Partial<Record<TableName, Milliseconds>>> | undefined;

    /** @param getLimit returns the age of a table beyond which a host has to read it itself */
    constructor(storeClock: StoreClock, getLimit: () => Milliseconds) {
        this.storeClock = storeClock;
        this.getLimit = getLimit;
    }

    /** Whether the coordinator was up to date when it sent its last messages, and these are recent. */
    get isCurrent(): boolean {
        return this.renewalAge < RENEWAL_AGE_LIMIT_MS && this.oldestTableAge < this.getLimit();
    }

    /**
     * Records a heartbeat.
     *
     * @param isOfNewestEra whether the coordinator knows of the newest era of the store that this host knows of
     */
    handleHeartbeat(
        { completeAt, storeAgeMs }: Extract<CoordinatorMessage, { kind: "beat"; }>,
        isOfNewestEra = true,
    ): void {
        this.renewalAge = isOfNewestEra ? storeAgeMs : Infinity;
        this.completeAt = completeAt;
    }

    private get oldestTableAge(): Milliseconds {
        if (!this.completeAt) {
            return 0;
        }
        const { configuration, servers } = this.completeAt;
        return Math.max(this.getAge(configuration), this.getAge(servers));
    }

    private getAge(completeAt: Milliseconds | undefined): Milliseconds {
        return completeAt === undefined ? Infinity : this.storeClock.getAge(completeAt) ?? Infinity;
    }
}
