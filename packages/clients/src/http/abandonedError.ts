/** Ends all calls of a client that is given up: nothing that it has written may still arrive. */
export class AbandonedError extends Error {
    constructor() {
        super("all calls were given up");
        this.name = "AbandonedError";
    }
}
