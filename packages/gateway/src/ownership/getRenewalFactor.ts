/**
 * Returns the share of the renewal period after which a range is renewed. It differs from range to range, so that renewals spread over
 * time.
 */
export function getRenewalFactor(first: number): number {
    const GOLDEN_RATIO = 0.618_033_988_75;
    const MIN_FACTOR = 0.75;
    return MIN_FACTOR + (1 - MIN_FACTOR) * (first * GOLDEN_RATIO % 1);
}
