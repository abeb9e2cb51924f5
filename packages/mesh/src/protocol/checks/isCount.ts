/** Whether a value is a whole number of 0 or more. */
export function isCount(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}
