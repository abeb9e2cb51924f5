import type { z } from "zod";
import { Service } from "../declaration/service.js";
import { parseInput } from "./parseInput.js";

/** Builds a service. Fields left out take their defaults. Throws InputError on a wrong field. */
export function service(name: string, fields: Omit<z.input<typeof Service>, "name">): Service {
    return parseInput(Service, { name, ...fields }, `service "${name}"`);
}
