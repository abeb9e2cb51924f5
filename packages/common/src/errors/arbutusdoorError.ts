/** Base of the project's errors: a fault that stops what was asked, with a sentence for whoever asked. */
export class ArbutusdoorError extends Error {
    override readonly name: string = "ArbutusdoorError";
}
