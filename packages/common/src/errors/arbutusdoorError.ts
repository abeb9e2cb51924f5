/** Base class of the project's errors. The message is one sentence for the user or operator whose action failed. */
export class ArbutusdoorError extends Error {
    override readonly name: string = "ArbutusdoorError";
}
