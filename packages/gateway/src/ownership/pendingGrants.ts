import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyRange } from "../orders/keyRange.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyOrder } from "./keyOrder.js";

/** Grants whose outcome is not known yet: until then they may still arrive, however late the timers of this process are. */
export class PendingGrants {
    /** When each was sent, by holder name. */
    private readonly sentTimes = new Map<string, Map<KeyOrder, Milliseconds>>();

    /** Records a grant that is sent. */
    add(order: KeyOrder, now: Milliseconds): void {
        const name = getHolderName(order.holder);
        const sent = this.sentTimes.get(name) ?? new Map<KeyOrder, Milliseconds>();
        this.sentTimes.set(name, sent.set(order, now));
    }

    /** Records that the outcome of a grant is known. Returns when it was sent; `undefined` for one that was not pending. */
    remove(order: KeyOrder): Milliseconds | undefined {
        const name = getHolderName(order.holder);
        const sent = this.sentTimes.get(name);
        const sentAt = sent?.get(order);
        sent?.delete(order);
        if (sent?.size === 0) {
            this.sentTimes.delete(name);
        }
        return sentAt;
    }

    /** Whether a grant of any key of a range to a holder is pending. */
    includes(holder: KeyHolder, { first, last }: KeyRange): boolean {
        const sent = this.sentTimes.get(getHolderName(holder));
        return sent !== undefined
            && [...sent.keys()].some(order => order.first <= last && order.last >= first);
    }
}
