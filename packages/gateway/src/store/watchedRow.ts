/** A decoded row of a watched table; an `unreadable` row has no usable value. */
export type WatchedRow<Value> = {
    readonly key: string;
    /** Version of the store at which the row was last written; increases across all tables. */
    readonly version: number;
    readonly content:
        | { readonly kind: "value"; readonly value: Value; }
        | { readonly kind: "absent"; }
        | { readonly kind: "unreadable"; readonly reason: string; };
};
