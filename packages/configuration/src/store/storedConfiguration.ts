import type { ConfigurationHead } from "./configurationHead.js";
import type { ConfigurationHistory } from "./configurationHistory.js";

/** The rows of the configuration at one moment, with the row versions needed by a conditional write. */
export type StoredConfiguration = {
    /** `undefined` before the first submission. */
    readonly head: ConfigurationHead | undefined;
    readonly headRowVersion: number;
    readonly history: ConfigurationHistory;
    readonly historyRowVersion: number;
};
