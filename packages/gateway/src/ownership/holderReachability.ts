import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { HolderState } from "./holderState.js";
import type { KeyHolder } from "./keyHolder.js";

/** Interval between probes of a holder without keys. A server that becomes reachable again waits about this long for its share. */
const PROBE_MS = 1_000;

/** A holder that has not answered since an order failed, or since this coordinator took over. */
type UnconfirmedHolder = {
    readonly holder: KeyHolder;
    /** Whether it is from a predecessor's map and has not answered this coordinator yet. */
    readonly isInherited: boolean;
    /** When the first failed order was recorded; `undefined` while none has failed. */
    readonly failingSince: Milliseconds | undefined;
    probeAt: Milliseconds;
};

/** Records which holders of keys answer this coordinator's orders. */
export class HolderReachability {
    private readonly unresponsiveAfterMs: Milliseconds;
    /** By holder name; dead and replaced holders are removed. */
    private readonly unconfirmed = new Map<string, UnconfirmedHolder>();

    /**
     * @param inherited holders from a predecessor's map; they have to answer before they get more keys
     * @param unresponsiveAfterMs time without an answer after which a holder counts as unresponsive
     */
    constructor(inherited: readonly KeyHolder[], unresponsiveAfterMs: Milliseconds) {
        this.unresponsiveAfterMs = unresponsiveAfterMs;
        for (const holder of inherited) {
            this.unconfirmed.set(getHolderName(holder), {
                holder,
                isInherited: true,
                failingSince: undefined,
                probeAt: -Infinity,
            });
        }
    }

    /** Records the outcome of an order. */
    recordOutcome(holder: KeyHolder, outcome: OrderOutcome, now: Milliseconds): void {
        const name = getHolderName(holder);
        if (outcome.kind === "notConnected") {
            return;
        }
        if (outcome.kind === "done" || outcome.kind === "fenced" || outcome.kind === "invalid") {
            this.unconfirmed.delete(name);
            return;
        }
        const known = this.unconfirmed.get(name);
        this.unconfirmed.set(name, {
            holder,
            isInherited: known?.isInherited === true,
            failingSince: known?.failingSince ?? now,
            probeAt: now + PROBE_MS,
        });
    }

    /** Whether the last order to a holder failed. */
    isFailing(holder: KeyHolder): boolean {
        return this.unconfirmed.get(getHolderName(holder))?.failingSince !== undefined;
    }

    /** Whether a holder has not answered for so long that its keys need another owner. */
    isUnresponsive(holder: KeyHolder, now: Milliseconds): boolean {
        const since = this.unconfirmed.get(getHolderName(holder))?.failingSince;
        return since !== undefined && now - since >= this.unresponsiveAfterMs;
    }

    /**
     * Whether a holder may get more keys. One from a predecessor's map has to answer first: it may have lost its keys because it cannot be
     * reached.
     */
    mayReceive(holder: KeyHolder, now: Milliseconds): boolean {
        return !this.isUnresponsive(holder, now)
            && this.unconfirmed.get(getHolderName(holder))?.isInherited !== true;
    }

    /**
     * Returns the holders that are due for a probe, an order that is sent only to get an answer, since they get no other orders.
     *
     * @param getsOrders whether a holder gets orders because it owns keys, or has not released some
     */
    takeProbes(
        now: Milliseconds,
        getState: (holder: KeyHolder) => HolderState,
        getsOrders: (holder: KeyHolder) => boolean,
    ): readonly KeyHolder[] {
        const due: KeyHolder[] = [];
        for (const [name, entry] of this.unconfirmed) {
            const state = getState(entry.holder);
            if (state === "dead" || state === "replaced") {
                this.unconfirmed.delete(name);
            }
            else if (state === "live" && now >= entry.probeAt && !getsOrders(entry.holder)) {
                entry.probeAt = Infinity;
                due.push(entry.holder);
            }
        }
        return due;
    }
}
