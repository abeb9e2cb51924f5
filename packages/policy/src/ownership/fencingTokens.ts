/**
 * Tokens given out in one era of the store. A service commits at most a few maps a second, so no era uses them up, and the remaining 21 bits
 * of a safe integer are left to the era.
 */
const TOKENS_PER_ERA = 2 ** 32;

/**
 * Numbers that only grow although the store may lose the last ones that were given out: fencing tokens and terms. Those of a later era of the
 * store are above all of an earlier one.
 */
export const fencingTokens = {
    /** Highest era in which tokens are safe integers. */
    maxEra: Math.floor(Number.MAX_SAFE_INTEGER / TOKENS_PER_ERA),

    /** Returns the number that follows the last known one; `undefined` when it would not be a safe integer. */
    getNext(last: number, era: number): number | undefined {
        const next = Math.max(last, era * TOKENS_PER_ERA) + 1;
        return Number.isSafeInteger(next) ? next : undefined;
    },

    /** Returns the era in which a number was given out. */
    getEra(token: number): number {
        return Math.floor(token / TOKENS_PER_ERA);
    },
} as const;
