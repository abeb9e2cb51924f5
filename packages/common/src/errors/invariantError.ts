import { ArbutusdoorError } from "./arbutusdoorError.js";

/** A violated internal invariant; the process stops when it occurs. */
export class InvariantError extends ArbutusdoorError {
    override readonly name = "InvariantError";
}
