/** Whether a value is a whole number of 1 or more. */
export function isPositiveInteger(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) > 0;
}
