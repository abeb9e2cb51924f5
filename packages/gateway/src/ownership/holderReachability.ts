import type { Milliseconds } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { HolderState } from "./holderState.js";
import type { KeyHolder } from "./keyHolder.js";

/** Pause between two attempts to hear from a holder that has no keys; a server that returns waits about so long for its share. */
const PROBE_MS = 1_000;

/** A holder that was not heard from since an order failed, or since this coordinator took over. */
type QuietHolder = {
    readonly holder: KeyHolder;
    /** Whether a predecessor dealt with it, and this coordinator has had no answer yet. */
    readonly isInherited: boolean;
    /** When the first order without an answer was noted; `undefined` while none was. */
    readonly failingSince: Milliseconds | undefined;
    probeAt: Milliseconds;
};

/** Which holders of keys answer this coordinator's orders. */
export class HolderReachability {
    private readonly silenceMs: Milliseconds;
    /** By name; holders that have ended are forgotten. */
    private readonly quiet = new Map<string, QuietHolder>();

    /**
     * @param inherited holders that a predecessor dealt with; they have to answer before they get more keys
     * @param silenceMs time without an answer after which a holder counts as silent
     */
    constructor(inherited: readonly KeyHolder[], silenceMs: Milliseconds) {
        this.silenceMs = silenceMs;
        for (const holder of inherited) {
            this.quiet.set(getHolderName(holder), {
                holder,
                isInherited: true,
                failingSince: undefined,
                probeAt: -Infinity,
            });
        }
    }

    /** Takes the outcome of an order in. */
    recordOutcome(holder: KeyHolder, outcome: OrderOutcome, now: Milliseconds): void {
        const name = getHolderName(holder);
        if (outcome.kind === "done" || outcome.kind === "fenced" || outcome.kind === "invalid") {
            this.quiet.delete(name);
            return;
        }
        const known = this.quiet.get(name);
        this.quiet.set(name, {
            holder,
            isInherited: known?.isInherited === true,
            failingSince: known?.failingSince ?? now,
            probeAt: now + PROBE_MS,
        });
    }

    /** Whether the last order to a holder got no answer. */
    isFailing(holder: KeyHolder): boolean {
        return this.quiet.get(getHolderName(holder))?.failingSince !== undefined;
    }

    /** Whether nothing was heard from a holder for so long that its keys belong elsewhere. */
    isUnresponsive(holder: KeyHolder, now: Milliseconds): boolean {
        const since = this.quiet.get(getHolderName(holder))?.failingSince;
        return since !== undefined && now - since >= this.silenceMs;
    }

    /**
     * Whether more keys may go to a holder. One that a predecessor dealt with has to answer first: it may have lost its keys because
     * it cannot be reached.
     */
    mayReceive(holder: KeyHolder, now: Milliseconds): boolean {
        return !this.isUnresponsive(holder, now)
            && this.quiet.get(getHolderName(holder))?.isInherited !== true;
    }

    /**
     * Holders that are to be sent an order only to hear from them, since they get none otherwise.
     *
     * @param getsOrders whether a holder gets orders because it owns keys, or has not let go of some
     */
    takeProbes(
        now: Milliseconds,
        getState: (holder: KeyHolder) => HolderState,
        getsOrders: (holder: KeyHolder) => boolean,
    ): readonly KeyHolder[] {
        const due: KeyHolder[] = [];
        for (const [name, entry] of this.quiet) {
            const state = getState(entry.holder);
            if (state === "dead" || state === "replaced") {
                this.quiet.delete(name);
            }
            else if (state === "live" && now >= entry.probeAt && !getsOrders(entry.holder)) {
                entry.probeAt = Infinity;
                due.push(entry.holder);
            }
        }
        return due;
    }
}
