import type { Logger, Metrics } from "@arbutusdoor/common";
import type { SubmissionPorts } from "./submissionPorts.js";

/** What a configuration keeper needs. */
export type ConfigurationManagerOptions = SubmissionPorts & {
    readonly logger: Logger;
    readonly metrics: Metrics;
};
