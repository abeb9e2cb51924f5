/** A promise that the evidence shows broken. */
export type Finding = {
    readonly kind:
        | "twoOwners"
        | "generationWentBack"
        | "ranWithoutOwnership"
        | "ranInTwoPlaces"
        | "ranTwice"
        | "refusedButRan"
        | "answeredButNotRun"
        | "wrongAnswer"
        | "sentAfterLeaving"
        | "sentWhilePaused"
        | "lost";
    /** What it is about: a slice, a request or a server. */
    readonly subject: string;
    readonly detail: string;
};
