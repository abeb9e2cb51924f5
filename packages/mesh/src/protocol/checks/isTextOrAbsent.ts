/** Whether a value is a string or `undefined`. */
export function isTextOrAbsent(value: unknown): value is string | undefined {
    return value === undefined || typeof value === "string";
}
