import type * as z from "zod";
import { RequestClass } from "../declaration/requestClass.js";
import { parseInput } from "./parseInput.js";

/** Builds a request class. Omitted fields get their defaults. Throws InputError on an invalid field. */
export function requestClass(
    name: string,
    fields: Omit<z.input<typeof RequestClass>, "name">,
): RequestClass {
    return parseInput(RequestClass, { name, ...fields }, `class "${name}"`);
}
