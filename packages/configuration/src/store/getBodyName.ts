import type { Digest } from "@arbutusdoor/common";

/** Returns the name of the object that holds a declaration's text. */
export function getBodyName(digest: Digest): string {
    return `configuration/${digest}`;
}
