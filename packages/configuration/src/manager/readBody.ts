import { type Digest, getDigest } from "@arbutusdoor/common";
import { getShapeProblems } from "../check/getShapeProblems.js";
import { Declaration } from "../declaration/declaration.js";
import type { BodyReading } from "./bodyReading.js";
import { parseJson } from "./parseJson.js";

/**
 * Parses a stored declaration. Checks only its digest and shape: the consistency between its parts was checked before it was
 * accepted, and a later release with stricter checks must not reject what is already in force.
 */
export function readBody(body: string, digest: Digest): BodyReading {
    if (getDigest(body) !== digest) {
        return { kind: "malformed", reason: "the text does not have its digest" };
    }
    const parsed = Declaration.safeParse(parseJson(body));
    if (parsed.success) {
        return { kind: "declaration", declaration: parsed.data };
    }
    const problem = getShapeProblems(parsed.error)[0];
    return { kind: "malformed", reason: `${problem?.path}: ${problem?.message}` };
}
