import { ArbutusdoorError } from "./arbutusdoorError.js";

/** Invalid input: settings, a declaration or a command. The message names the field and what is expected. */
export class InputError extends ArbutusdoorError {
    override readonly name = "InputError";
}
