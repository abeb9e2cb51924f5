import type { Milliseconds, OperationId, ServerIncarnation } from "@arbutusdoor/common";

/** A coordinator's attempt to take over a server's slices, with the grantors' confirmations so far. */
export type TakeoverAttempt = {
    readonly barId: number;
    readonly basisVersion: number;
    /** Incarnation of the server that is taken over from. */
    readonly incarnation: ServerIncarnation;
    /** Incarnations of grantors that have confirmed the revocation. */
    readonly confirmed: readonly string[];
    /** For each of them, the incarnations of others that have no support from it any more. */
    readonly denials: Readonly<Record<string, readonly string[]>>;
    /**
     * Transactions based on these confirmations that have taken effect or still may: with any, the revocations end only with a newer row.
     */
    readonly operations: readonly OperationId[];
    /** True if the server answered after that; the row is then only rewritten unchanged, so that the revocations end. */
    readonly isAbandoned: boolean;
    readonly sentAt: Milliseconds;
};
