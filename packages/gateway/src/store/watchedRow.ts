/** A row of a watched table, decoded; `unreadable` rows stand for nothing that can be used. */
export type WatchedRow<Value> = {
    readonly key: string;
    /** Version of the store at which the row was last written; grows over all tables. */
    readonly version: number;
    readonly content:
        | { readonly kind: "value"; readonly value: Value; }
        | { readonly kind: "absent"; }
        | { readonly kind: "unreadable"; readonly reason: string; };
};
