import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import { KEY_COUNT } from "./keyCount.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyOrder } from "./keyOrder.js";

/** Servers write their registry entries again within two seconds of the store's return. */
const ENTRY_RETURN_MS = 2_000;

/** Times of a rebuild. */
type RebuildTimes = {
    /** When the rebuild began; after the lease was taken, so that no coordinator of the earlier era holds one. */
    readonly startedAt: Milliseconds;
    /** When the last grant of an earlier era that a coordinator may have sent has expired. */
    readonly expiresAt: Milliseconds;
    /** Delay before a release without an answer is sent again. */
    readonly retryMs: Milliseconds;
};

/**
 * The keys of a service after the store was restored from an older copy, when this coordinator does not know the newest map: any server may
 * hold any key by a grant that the map does not tell of. All keys are released at all servers, under a token of the new era, before any is
 * granted; a server that has answered refuses earlier tokens from then on.
 */
export class RestoredKeys {
    private readonly fence: number;
    private readonly times: RebuildTimes;
    /** Names of the incarnations that have answered the release. */
    private readonly cleared = new Set<string>();
    private readonly dueAt = new Map<string, Milliseconds>();

    /** @param fence the token of the releases; above all of earlier eras */
    constructor(fence: number, times: RebuildTimes) {
        this.fence = fence;
        this.times = times;
    }

    /** Whether no server can hold a key any more, of those that are known now. */
    isCleared(holders: readonly KeyHolder[], now: Milliseconds): boolean {
        const { expiresAt, startedAt } = this.times;
        return now >= expiresAt
            || (now >= startedAt + ENTRY_RETURN_MS && this.listPending(holders).length === 0);
    }

    /** Returns the holders that may still hold keys. */
    listPending(holders: readonly KeyHolder[]): readonly KeyHolder[] {
        return holders.filter(holder => !this.cleared.has(getHolderName(holder)));
    }

    /** Returns the releases that are due; the outcome of each must be passed to `complete`. */
    takeDueOrders(holders: readonly KeyHolder[], now: Milliseconds, limit: number): readonly KeyOrder[] {
        const due = this.listPending(holders).filter(holder =>
            now >= (this.dueAt.get(getHolderName(holder)) ?? -Infinity)
        ).slice(0, limit);
        return due.map(holder => {
            this.dueAt.set(getHolderName(holder), Infinity);
            return this.createRelease(holder);
        });
    }

    /** Creates the release of all keys at a holder. */
    createRelease(holder: KeyHolder): KeyOrder {
        const { fence } = this;
        return { kind: "release", first: 0, last: KEY_COUNT - 1, fence, holder, handover: undefined };
    }

    /** Records the outcome of a release. */
    complete({ holder }: KeyOrder, outcome: OrderOutcome, now: Milliseconds): void {
        const name = getHolderName(holder);
        if (outcome.kind === "done") {
            this.cleared.add(name);
        }
        this.dueAt.set(name, now + this.times.retryMs);
    }
}
