import type * as z from "zod";
import { Objective } from "../declaration/objective.js";
import { parseInput } from "./parseInput.js";

/** Builds the objective of a keyed service. Omitted fields get their defaults. Throws InputError on an invalid field. */
export function objective(fields: z.input<typeof Objective>): Objective {
    return parseInput(Objective, fields, "objective");
}
