import type { ObjectStore, TableService } from "@arbutusdoor/clients";
import type { Clock, RandomSource } from "@arbutusdoor/common";
import type { ConfigurationSettings } from "./configurationSettings.js";

/** Dependencies of writes to the platform's stores. */
export type SubmissionPorts = {
    readonly clock: Clock;
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly random: RandomSource;
    readonly settings: ConfigurationSettings;
};
