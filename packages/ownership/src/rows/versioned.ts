/** The value of a row at a version. */
export type Versioned<Value> = {
    readonly version: number;
    readonly value: Value;
};
