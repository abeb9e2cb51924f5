import type { Digest } from "@arbutusdoor/common";

/** An accepted configuration as hosts pass it to each other: the stored text itself, so that any release can check its digest. */
export type OfferedConfiguration = {
    /** Grows with each accepted submission; 0 stands for "none yet". */
    readonly version: number;
    /** Digest of `body`. */
    readonly digest: Digest;
    /** The declaration's canonical print, as stored. */
    readonly body: string;
};
