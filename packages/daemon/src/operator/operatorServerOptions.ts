import type { Clock, Logger, Metrics } from "@arbutusdoor/common";
import type { OperatorContext } from "./operatorContext.js";
import type { OperatorSettings } from "./operatorSettings.js";

/** What the operators' port needs. */
export type OperatorServerOptions = {
    readonly context: OperatorContext;
    /** Secret that every call has to carry; never logged. */
    readonly token: string;
    readonly settings: OperatorSettings;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};
