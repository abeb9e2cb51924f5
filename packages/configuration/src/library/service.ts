import type * as z from "zod";
import { Service } from "../declaration/service.js";
import { parseInput } from "./parseInput.js";

/** Builds a service. Omitted fields get their defaults. Throws InputError on an invalid field. */
export function service(name: string, fields: Omit<z.input<typeof Service>, "name">): Service {
    return parseInput(Service, { name, ...fields }, `service "${name}"`);
}
