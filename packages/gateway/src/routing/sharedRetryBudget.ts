import type { Milliseconds, ServiceId } from "@arbutusdoor/common";

/** Slices of the window in which requests are counted. */
const SLICES = 10;
const MAX_SERVICES = 256;
/** Repeats reach servers a little later than they are counted, and hosts that are cut off count as fewer: a part stays unspent. */
const SPENT_SHARE = 0.9;
/**
 * Part of the share that a request adds as it comes. The rest can be saved up from the window before, which no restart doubles: a
 * host that has just started has saved nothing.
 */
const EARNED_PART = 0.7;

/** The bound on repeats of all hosts together. */
type BudgetBounds = {
    /** Repeats as a share of the requests within the window. */
    readonly share: number;
    readonly windowMs: Milliseconds;
    /** Repeats allowed beside that share, over all hosts. */
    readonly allowance: number;
};

/** What this host counts for one service. */
type Account = {
    /** Requests in slices of the window. */
    readonly requests: number[];
    slice: number;
    /** Repeats that were earned by requests and not spent. */
    saved: number;
    /** When repeats were taken from the allowance, within the last window; at most as many as the allowance. */
    readonly taken: Milliseconds[];
};

/**
 * This host's part of the repeats that a service may get from all hosts together. Hosts ask each other nothing, and one that starts
 * again does not know what its life before has spent. So in any window a host spends at most what it has saved, which is bounded by
 * its requests in the window before, and what it earns in that window; and it takes nothing of the allowance in its first window.
 */
export class SharedRetryBudget {
    private readonly getBounds: () => BudgetBounds;
    private readonly getHosts: () => number;
    private readonly startedAt: Milliseconds;
    private readonly accounts = new Map<ServiceId, Account>();

    /**
     * @param getHosts hosts that share the budget
     * @param startedAt when this host started; a life before may have spent its allowance until then
     */
    constructor(getBounds: () => BudgetBounds, getHosts: () => number, startedAt: Milliseconds = -Infinity) {
        this.getBounds = getBounds;
        this.getHosts = getHosts;
        this.startedAt = startedAt;
    }

    /** Counts a request for a service. */
    recordRequest(service: ServiceId, now: Milliseconds): void {
        const account = this.getAccount(service, now);
        account.requests[account.slice % SLICES]!++;
        account.saved += SPENT_SHARE * EARNED_PART * this.getBounds().share;
        this.limitSaved(account);
    }

    /** Counts a repeat. Returns false, and counts nothing, when the service may get no more now. */
    spend(service: ServiceId, now: Milliseconds): boolean {
        const account = this.getAccount(service, now);
        this.limitSaved(account);
        if (account.saved >= 1) {
            account.saved--;
            return true;
        }
        return this.takeAllowance(account, now);
    }

    private takeAllowance({ taken }: Account, now: Milliseconds): boolean {
        const { allowance, windowMs } = this.getBounds();
        while (taken[0] !== undefined && taken[0] <= now - windowMs) {
            taken.shift();
        }
        const part = SPENT_SHARE * allowance / Math.max(1, this.getHosts());
        if (now - this.startedAt < windowMs || taken.length + 1 > part) {
            return false;
        }
        taken.push(now);
        return true;
    }

    private limitSaved(account: Account): void {
        const limit = SPENT_SHARE * (1 - EARNED_PART) * this.getBounds().share * sum(account.requests);
        account.saved = Math.min(account.saved, limit);
    }

    private getAccount(service: ServiceId, now: Milliseconds): Account {
        const slice = Math.floor(now / (this.getBounds().windowMs / SLICES));
        let account = this.accounts.get(service);
        if (!account) {
            account = { requests: new Array<number>(SLICES).fill(0), slice, saved: 0, taken: [] };
            this.accounts.set(service, account);
            if (this.accounts.size > MAX_SERVICES) {
                const [oldest] = this.accounts.keys();
                this.accounts.delete(oldest as ServiceId);
            }
        }
        for (let steps = Math.min(SLICES, slice - account.slice); steps > 0; steps--) {
            account.slice++;
            account.requests[account.slice % SLICES] = 0;
        }
        account.slice = slice;
        return account;
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
