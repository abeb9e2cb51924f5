import type { Declaration } from "./declaration/declaration.js";
import type { OfferedConfiguration } from "./offeredConfiguration.js";

/** A declaration that the table service has accepted. */
export type ConfigurationVersion = OfferedConfiguration & {
    readonly declaration: Declaration;
};
