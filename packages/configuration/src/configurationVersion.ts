import type { Digest } from "@arbutusdoor/common";
import type { Declaration } from "./declaration/declaration.js";

/** A declaration that the table service has accepted. */
export type ConfigurationVersion = {
    /** Grows by one with each accepted submission; 0 stands for "none yet". */
    readonly version: number;
    readonly digest: Digest;
    readonly declaration: Declaration;
};
