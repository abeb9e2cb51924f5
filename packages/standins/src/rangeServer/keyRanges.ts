import type { Clock, Milliseconds } from "@arbutusdoor/common";

const KEYS = 65_536;

/** A span of keys, both ends included. */
type Span = { readonly first: number; readonly last: number; };

/** A time during which a server held a key. Times are wall-clock times in ms. */
type Tenure = {
    readonly key: number;
    readonly fence: number;
    readonly from: number;
    readonly until: number;
};

/** The keys that a server holds by grants with fencing tokens and leases, with a record of the keys that requests came for. */
export class KeyRanges {
    private readonly clock: Clock;
    private readonly onEnd: (tenure: Tenure) => void;
    /** Tokens are safe integers above 2^32 after the store was restored. */
    private readonly seen = new Float64Array(KEYS);
    private readonly fences = new Float64Array(KEYS);
    private readonly until = new Float64Array(KEYS).fill(Number.NEGATIVE_INFINITY);
    private readonly from = new Float64Array(KEYS);
    private readonly released = new Uint8Array(KEYS);
    /** Keys with a record; the others are left out of the journal, which could not hold all. */
    private readonly used = new Set<number>();

    /** @param onEnd called with each tenure of a used key once it is over */
    constructor(clock: Clock, onEnd: (tenure: Tenure) => void) {
        this.clock = clock;
        this.onEnd = onEnd;
    }

    /** Whether a higher fencing token was seen on one of the keys. */
    isFenced({ first, last }: Span, fence: number): boolean {
        return this.seen.subarray(first, last + 1).some(seen => seen > fence);
    }

    /** Holds the keys until `until` on the server's clock; a grant that was sent again never shortens. */
    grant({ first, last }: Span, fence: number, until: Milliseconds): void {
        const wall = this.clock.wallTime();
        for (let key = first; key <= last; key++) {
            const isRenewal = this.fences[key] === fence && this.isHeld(key);
            if (!isRenewal) {
                this.end(key);
                this.from[key] = wall;
            }
            this.seen[key] = fence;
            this.fences[key] = fence;
            this.released[key] = 0;
            this.until[key] = isRenewal ? Math.max(this.until[key]!, until) : until;
        }
    }

    /** Takes the keys' new work away; `endTenures` follows once the work that runs has ended. */
    release({ first, last }: Span, fence: number): void {
        for (let key = first; key <= last; key++) {
            this.seen[key] = Math.max(this.seen[key]!, fence);
            if (this.fences[key]! <= fence) {
                this.released[key] = 1;
            }
        }
    }

    /** Ends the tenures of released keys. */
    endTenures({ first, last }: Span): void {
        for (let key = first; key <= last; key++) {
            if (!this.isHeld(key)) {
                this.end(key);
            }
        }
    }

    /** The fencing token by which a key is held, or `undefined` when it is not; from now on the key has a record. */
    use(key: number): number | undefined {
        this.used.add(key);
        return this.isHeld(key) ? this.fences[key] : undefined;
    }

    /** Whether work that began under a fencing token may end well: until its lease ends, also after a release. */
    mayFinish(key: number, fence: number | undefined): boolean {
        return this.fences[key] === fence && this.until[key]! > this.clock.now();
    }

    /** Wall-clock time at which the lease of a key ends or ended. */
    getLeaseEnd(key: number): number {
        return this.clock.wallTime() + this.until[key]! - this.clock.now();
    }

    /** Tenures of used keys that are not over. */
    list(): readonly Tenure[] {
        return [...this.used].filter(key => this.fences[key]! > 0).map(key => this.newTenure(key));
    }

    private isHeld(key: number): boolean {
        return this.released[key] === 0 && this.until[key]! > this.clock.now();
    }

    private end(key: number): void {
        if (this.used.has(key) && this.fences[key]! > 0) {
            this.onEnd(this.newTenure(key));
        }
        this.fences[key] = 0;
    }

    private newTenure(key: number): Tenure {
        const wall = this.clock.wallTime();
        const until = Math.min(wall, this.getLeaseEnd(key));
        const from = this.from[key]!;
        return { key, fence: this.fences[key]!, from, until: Math.max(from, until) };
    }
}
