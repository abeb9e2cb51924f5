import type { KeyRange } from "../orders/keyRange.js";
import type { KeyHolder } from "./keyHolder.js";
import type { StopProof } from "./stopProof.js";

/** An order to a holder that is due to be sent. */
export type KeyOrder = KeyRange & {
    readonly kind: "grant" | "release";
    readonly holder: KeyHolder;
    /** Fencing token. */
    readonly fence: number;
    readonly handover: string | undefined;
    /** For the first grant under a fencing token: proofs that the earlier owners have stopped. */
    readonly stopProofs?: readonly StopProof[];
};
