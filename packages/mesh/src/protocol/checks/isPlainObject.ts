/** Whether a value is an object as literals make them. */
export function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return value instanceof Object && Object.getPrototypeOf(value) === Object.prototype;
}
