/** Whether a value is a string. */
export function isText(value: unknown): value is string {
    return typeof value === "string";
}
