/** A pending action of a clock. */
export type Timer = {
    /** Stops the action from running; no effect once it has run. */
    readonly cancel: () => void;
};
