/** A call without a usable answer: `notSent` certainly did not reach the host, `lost` may have taken effect there. */
export type CallFailure = {
    readonly kind: "notSent" | "lost";
    readonly host: string;
    readonly reason: string;
};
