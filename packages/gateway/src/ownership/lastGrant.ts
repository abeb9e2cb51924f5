import type { Milliseconds } from "@arbutusdoor/common";

/** What is known about the last grant of a range to one holder, under any fencing token. */
export type LastGrant = {
    /** When this coordinator last sent one, answered or not; -Infinity when never. */
    readonly at: Milliseconds;
    /** Whether a predecessor may have sent one. */
    readonly isInherited: boolean;
};
