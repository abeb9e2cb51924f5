/** Counts the grants of one call and limits renewals and first grants separately. */
export class OrderQuota {
    private renewals: number;
    private firstGrants: number;

    /**
     * @param renewals maximum number of renewals
     * @param firstGrants maximum number of other grants
     */
    constructor(renewals: number, firstGrants: number) {
        this.renewals = renewals;
        this.firstGrants = firstGrants;
    }

    /** Whether a further grant may be sent: a renewal if the owner holds the range, else a first grant. */
    hasGrant(isHeld: boolean): boolean {
        return isHeld ? this.renewals > 0 : this.firstGrants > 0;
    }

    /** Counts a grant. */
    takeGrant(isHeld: boolean): void {
        if (isHeld) {
            this.renewals--;
        }
        else {
            this.firstGrants--;
        }
    }
}
