import { type Digest, getDigest } from "@arbutusdoor/common";
import type { Declaration } from "../declaration/declaration.js";
import { printDeclaration } from "./printDeclaration.js";

/** Digest of a declaration's canonical print. */
export function getDeclarationDigest(declaration: Declaration): Digest {
    return getDigest(printDeclaration(declaration));
}
