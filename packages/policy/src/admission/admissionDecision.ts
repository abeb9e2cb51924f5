/**
 * Whether a request is admitted, or why it is refused: it cannot end in the time that it has (`noTimeToRun`); it would be late, and its
 * server sheds (`lateUnderLoad`); more urgent requests go first (`lessUrgent`); its caller does not wait (`repeatedTooEarly`).
 */
export type AdmissionDecision =
    | { readonly kind: "admitted"; }
    | {
        readonly kind: "refused";
        readonly reason: "noTimeToRun" | "lateUnderLoad" | "lessUrgent" | "repeatedTooEarly";
    };
