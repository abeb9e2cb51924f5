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
        | "wrongAnswer";
    /** What it is about: a slice or a request. */
    readonly subject: string;
    readonly detail: string;
};
