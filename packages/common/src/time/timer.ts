/** A pending action of a clock. */
export type Timer = {
    /** Cancels the action; has no effect once it has run. */
    readonly cancel: () => void;
};
