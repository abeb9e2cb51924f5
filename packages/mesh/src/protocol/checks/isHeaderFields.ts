import type { HeaderFields } from "@arbutusdoor/common";
import { isPlainObject } from "./isPlainObject.js";
import { isText } from "./isText.js";

/** Whether a value is a plain object of strings and lists of strings. */
export function isHeaderFields(value: unknown): value is HeaderFields {
    return isPlainObject(value)
        && Object.values(value).every(field =>
            isText(field) || (Array.isArray(field) && field.every(isText))
        );
}
