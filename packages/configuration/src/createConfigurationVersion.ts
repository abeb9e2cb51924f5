import { getDigest } from "@arbutusdoor/common";
import type { ConfigurationVersion } from "./configurationVersion.js";
import type { Declaration } from "./declaration/declaration.js";
import { printDeclaration } from "./library/printDeclaration.js";

/** Creates a configuration version: a declaration with its version number, canonical text and digest. */
export function createConfigurationVersion(version: number, declaration: Declaration): ConfigurationVersion {
    const body = printDeclaration(declaration);
    return { version, digest: getDigest(body), body, declaration };
}
