import type { Difference } from "./difference.js";

/** Formats a difference as one line, such as `~ services/gustboard/classes/read/deadlineMs: 900 -> 1200`. */
export function printDifference(difference: Difference): string {
    const path = difference.path.join("/");
    switch (difference.kind) {
        case "added":
            return `+ ${path}: ${JSON.stringify(difference.value)}`;
        case "removed":
            return `- ${path}: ${JSON.stringify(difference.value)}`;
        case "changed":
            return `~ ${path}: ${JSON.stringify(difference.from)} -> ${JSON.stringify(difference.to)}`;
        case "reordered":
            return `~ ${path}: order ${difference.from.join(", ")} -> ${difference.to.join(", ")}`;
    }
}
