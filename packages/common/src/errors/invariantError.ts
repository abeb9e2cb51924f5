import { ArbutusdoorError } from "./arbutusdoorError.js";

/** A broken invariant of the program itself; the process stops on it. */
export class InvariantError extends ArbutusdoorError {
    override readonly name = "InvariantError";
}
