import { InputError } from "@arbutusdoor/common";
import type * as z from "zod";
import { getShapeProblems } from "../check/getShapeProblems.js";

/** Parses input from an operator's program. Throws InputError that names each invalid field of `subject`. */
export function parseInput<Shape extends z.ZodType>(
    shape: Shape,
    input: z.input<Shape>,
    subject: string,
): z.output<Shape> {
    const result = shape.safeParse(input);
    if (result.success) {
        return result.data;
    }
    const problems = getShapeProblems(result.error);
    const sentences = problems.map(({ path, message }) => `${path || subject}: ${message}`);
    throw new InputError(`${subject}: ${sentences.join("; ")}`);
}
