import { type Digest, getDigest } from "@arbutusdoor/common";
import type { Declaration } from "../declaration/declaration.js";
import { printDeclaration } from "./printDeclaration.js";

/** Returns the digest of a declaration's canonical JSON text. */
export function getDeclarationDigest(declaration: Declaration): Digest {
    return getDigest(printDeclaration(declaration));
}
