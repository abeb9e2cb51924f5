import type { KeyRange } from "../orders/keyRange.js";

/** A part of a range that can be moved by itself. */
export type RangePart = KeyRange & {
    readonly load: number;
    /** Whether the load is that of one key which is too hot to share a server with others. */
    readonly isHot: boolean;
};
