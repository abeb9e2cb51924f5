import { isPlainObject } from "./isPlainObject.js";
import { isText } from "./isText.js";

/** Whether a value is a plain object of strings. */
export function isTextRecord(value: unknown): value is Readonly<Record<string, string>> {
    return isPlainObject(value) && Object.values(value).every(isText);
}
