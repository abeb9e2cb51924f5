import type { KeyRange } from "../orders/keyRange.js";
import type { KeyHolder } from "./keyHolder.js";
import type { StopProof } from "./stopProof.js";

/** An order that is due. */
export type KeyOrder = KeyRange & {
    readonly kind: "grant" | "release";
    readonly holder: KeyHolder;
    readonly fence: number;
    readonly handover: string | undefined;
    /** Of the first grant of a fence: how earlier owners were cleared. */
    readonly stopProofs?: readonly StopProof[];
};
