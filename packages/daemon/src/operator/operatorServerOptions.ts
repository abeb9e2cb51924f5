import type { Clock, Logger, Metrics } from "@arbutusdoor/common";
import type { OperatorContext } from "./operatorContext.js";
import type { OperatorSettings } from "./operatorSettings.js";

/** Dependencies of the operators' port. */
export type OperatorServerOptions = {
    readonly context: OperatorContext;
    /** Secret that every call must carry; never logged. */
    readonly token: string;
    readonly settings: OperatorSettings;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
};
