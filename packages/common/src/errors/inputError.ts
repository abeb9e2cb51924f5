import { ArbutusdoorError } from "./arbutusdoorError.js";

/** Input that cannot be taken: settings, a declaration, a command. The message names the field and what is wanted. */
export class InputError extends ArbutusdoorError {
    override readonly name = "InputError";
}
