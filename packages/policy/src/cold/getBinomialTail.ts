/** Returns the probability that more than `limit` of `trials` independent trials succeed, each with `probability`. */
export function getBinomialTail(trials: number, probability: number, limit: number): number {
    if (limit >= trials) {
        return 0;
    }
    if (probability >= 1) {
        return 1;
    }
    let term = (1 - probability) ** trials;
    let sum = term;
    for (let successes = 1; successes <= limit; successes++) {
        term *= (trials - successes + 1) / successes * probability / (1 - probability);
        sum += term;
    }
    return Math.max(0, 1 - sum);
}
