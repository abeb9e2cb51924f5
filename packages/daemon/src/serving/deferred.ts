/** A promise that is resolved from outside. */
export class Deferred<Value> {
    readonly promise: Promise<Value>;
    private settle!: (value: Value) => void;

    constructor() {
        this.promise = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    /** Resolves the promise; later calls have no effect. */
    resolve(value: Value): void {
        this.settle(value);
    }
}
