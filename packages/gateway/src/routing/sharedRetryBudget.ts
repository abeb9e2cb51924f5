import type { Milliseconds, ServiceId } from "@arbutusdoor/common";

const BUCKETS = 10;
const MAX_SERVICES = 256;
/** Hosts count by windows of their own, so a part is left unspent. */
const SPENT_SHARE = 0.8;

/** The bound on repeats of all hosts together. */
type BudgetBounds = {
    /** Repeats as a share of the requests within the window. */
    readonly share: number;
    readonly windowMs: Milliseconds;
    /** Repeats allowed beside that share, over all hosts. */
    readonly allowance: number;
};

/** Requests and repeats of one service in slices of the window. */
type Window = { readonly requests: number[]; readonly repeats: number[]; slice: number; };

/** This host's part of the repeats that a service may get from all hosts together. Hosts ask each other nothing. */
export class SharedRetryBudget {
    private readonly getBounds: () => BudgetBounds;
    private readonly getHosts: () => number;
    private readonly windows = new Map<ServiceId, Window>();

    /** @param getHosts hosts that share the budget */
    constructor(getBounds: () => BudgetBounds, getHosts: () => number) {
        this.getBounds = getBounds;
        this.getHosts = getHosts;
    }

    /** Counts a request for a service. */
    noteRequest(service: ServiceId, now: Milliseconds): void {
        const window = this.getWindow(service, now);
        window.requests[window.slice % BUCKETS]!++;
    }

    /** Counts a repeat. Returns false, and counts nothing, when the service may get no more now. */
    spend(service: ServiceId, now: Milliseconds): boolean {
        const window = this.getWindow(service, now);
        const { allowance, share } = this.getBounds();
        const limit = SPENT_SHARE * (share * sum(window.requests) + allowance / Math.max(1, this.getHosts()));
        if (sum(window.repeats) + 1 > limit) {
            return false;
        }
        window.repeats[window.slice % BUCKETS]!++;
        return true;
    }

    private getWindow(service: ServiceId, now: Milliseconds): Window {
        const slice = Math.floor(now / (this.getBounds().windowMs / BUCKETS));
        let window = this.windows.get(service);
        if (!window) {
            window = { requests: newSlices(), repeats: newSlices(), slice };
            this.windows.set(service, window);
            if (this.windows.size > MAX_SERVICES) {
                const [oldest] = this.windows.keys();
                this.windows.delete(oldest as ServiceId);
            }
        }
        for (let steps = Math.min(BUCKETS, slice - window.slice); steps > 0; steps--) {
            window.slice++;
            window.requests[window.slice % BUCKETS] = 0;
            window.repeats[window.slice % BUCKETS] = 0;
        }
        window.slice = slice;
        return window;
    }
}

function newSlices(): number[] {
    return new Array<number>(BUCKETS).fill(0);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
