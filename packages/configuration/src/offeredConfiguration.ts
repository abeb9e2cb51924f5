import type { Digest } from "@arbutusdoor/common";

/** An accepted configuration as passed between hosts: the stored text itself, so that any release can check its digest. */
export type OfferedConfiguration = {
    /** Increases with each accepted submission; 0 means that there is none yet. */
    readonly version: number;
    /** Digest of `body`. */
    readonly digest: Digest;
    /** The declaration's canonical JSON text, as stored. */
    readonly body: string;
};
