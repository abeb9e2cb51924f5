/** Whether a value is a plain object. */
export function isPlainObject(value: unknown): value is Readonly<Record<string, unknown>> {
    return value instanceof Object && Object.getPrototypeOf(value) === Object.prototype;
}
