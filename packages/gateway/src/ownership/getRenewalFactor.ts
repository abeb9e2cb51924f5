/** A share of the renewal period, different from range to range, so that renewals spread over time. */
export function getRenewalFactor(first: number): number {
    const GOLDEN_RATIO = 0.618_033_988_75;
    const SHORTEST = 0.75;
    return SHORTEST + (1 - SHORTEST) * (first * GOLDEN_RATIO % 1);
}
