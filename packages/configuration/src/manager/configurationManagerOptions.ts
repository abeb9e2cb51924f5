import type { Logger, Metrics } from "@arbutusdoor/common";
import type { SubmissionPorts } from "./submissionPorts.js";

/** Dependencies of the configuration manager. */
export type ConfigurationManagerOptions = SubmissionPorts & {
    readonly logger: Logger;
    readonly metrics: Metrics;
};
