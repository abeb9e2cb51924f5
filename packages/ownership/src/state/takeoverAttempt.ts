import type { Milliseconds, OperationId, ServerIncarnation } from "@arbutusdoor/common";

/** A decider's collection of promises before it takes over a server's slices. */
export type TakeoverAttempt = {
    readonly barId: number;
    readonly basisVersion: number;
    /** Run of the server that is taken over from. */
    readonly incarnation: ServerIncarnation;
    /** Runs of grantors that promised. */
    readonly confirmed: readonly string[];
    /** For each of them, the runs of others that hold no promise of it any more. */
    readonly denials: Readonly<Record<string, readonly string[]>>;
    /** Transactions on these promises that may have taken effect or may yet: with any, the promises end only when the row grows. */
    readonly operations: readonly OperationId[];
    /** True when the server answered after that; the row is then only rewritten, so that the promises end. */
    readonly isAbandoned: boolean;
    readonly sentAt: Milliseconds;
};
