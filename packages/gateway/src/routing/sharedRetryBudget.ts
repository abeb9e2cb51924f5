import type { Milliseconds, ServiceId } from "@arbutusdoor/common";

/** Number of buckets of the window in which requests are counted. */
const BUCKETS = 10;
const MAX_SERVICES = 256;
/** Part of the budget that is used: retries reach servers a little later than counted, and partitioned hosts count too few hosts. */
const USED_SHARE = 0.9;
/**
 * Part of the share that each request adds when it arrives. The rest can be saved from the window before. A restart cannot double
 * these savings, as a host starts with none.
 */
const EARNED_PART = 0.7;

/** Limit on the retries of all hosts together. */
type BudgetBounds = {
    /** Retries as a share of the requests within the window. */
    readonly share: number;
    readonly windowMs: Milliseconds;
    /** Retries allowed in addition to that share, for all hosts together. */
    readonly allowance: number;
};

/** Counters of this host for one service. */
type Account = {
    /** Requests in each bucket of the window. */
    readonly requests: number[];
    bucket: number;
    /** Retries that requests have added and that have not been used. */
    saved: number;
    /** When retries were taken from the allowance, within the last window; at most as many as the allowance. */
    readonly taken: Milliseconds[];
};

/**
 * This host's part of the retries that a service may get from all hosts together. Hosts do not coordinate them, and a restarted host
 * does not know what its previous incarnation has used. So in any window a host uses at most what it has saved, which is limited by
 * its requests in the window before, and what its requests add in that window; it takes nothing of the allowance in its first window.
 */
export class SharedRetryBudget {
    private readonly getBounds: () => BudgetBounds;
    private readonly getHosts: () => number;
    private readonly startedAt: Milliseconds;
    private readonly accounts = new Map<ServiceId, Account>();

    /**
     * @param getHosts returns the number of hosts that share the budget
     * @param startedAt when this host started; its previous incarnation may have used its part of the allowance until then
     */
    constructor(getBounds: () => BudgetBounds, getHosts: () => number, startedAt: Milliseconds = -Infinity) {
        this.getBounds = getBounds;
        this.getHosts = getHosts;
        this.startedAt = startedAt;
    }

    /** Counts a request for a service. */
    recordRequest(service: ServiceId, now: Milliseconds): void {
        const account = this.getAccount(service, now);
        account.requests[account.bucket % BUCKETS]!++;
        account.saved += USED_SHARE * EARNED_PART * this.getBounds().share;
        this.limitSaved(account);
    }

    /** Counts a retry. Returns false, without counting it, when the service may get no more now. */
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
        const part = USED_SHARE * allowance / Math.max(1, this.getHosts());
        if (now - this.startedAt < windowMs || taken.length + 1 > part) {
            return false;
        }
        taken.push(now);
        return true;
    }

    private limitSaved(account: Account): void {
        const limit = USED_SHARE * (1 - EARNED_PART) * this.getBounds().share * sum(account.requests);
        account.saved = Math.min(account.saved, limit);
    }

    private getAccount(service: ServiceId, now: Milliseconds): Account {
        const bucket = Math.floor(now / (this.getBounds().windowMs / BUCKETS));
        let account = this.accounts.get(service);
        if (!account) {
            account = { requests: new Array<number>(BUCKETS).fill(0), bucket, saved: 0, taken: [] };
            this.accounts.set(service, account);
            if (this.accounts.size > MAX_SERVICES) {
                const [oldest] = this.accounts.keys();
                this.accounts.delete(oldest as ServiceId);
            }
        }
        for (let steps = Math.min(BUCKETS, bucket - account.bucket); steps > 0; steps--) {
            account.bucket++;
            account.requests[account.bucket % BUCKETS] = 0;
        }
        account.bucket = bucket;
        return account;
    }
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
