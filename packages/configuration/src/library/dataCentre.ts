import { nameSchema } from "../declaration/names.js";
import { parseInput } from "./parseInput.js";

/** Checks the name of a data centre and returns it. Throws InputError on an invalid name. */
export function dataCentre(name: string): string {
    return parseInput(nameSchema, name, `data centre "${name}"`);
}
