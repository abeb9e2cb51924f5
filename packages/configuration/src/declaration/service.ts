import * as z from "zod";
import { nameSchema } from "./names.js";
import { Objective } from "./objective.js";
import { RequestClass } from "./requestClass.js";
import { Route } from "./route.js";

const DEFAULT_SLICES = 64;
const MAX_SLICES = 65_536;

/** A service: `keyed` assigns each key to one server, `pooled` lets any server take a request. */
const Service = z.strictObject({
    name: nameSchema,
    kind: z.enum(["keyed", "pooled"]),
    classes: z.array(RequestClass).min(1),
    /** Number of hash ranges into which the keys are divided initially. */
    slices: z.int().min(1).max(MAX_SLICES).default(DEFAULT_SLICES),
    routes: z.array(Route).default([]),
    objective: Objective.prefault({}),
});

type Service = z.infer<typeof Service>;

export { Service };
