import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerReport } from "../messages/serverReport.js";
import type { HostIdentity } from "./hostIdentity.js";

/** A grantor's report as the decider received it. */
export type HeardReport = {
    readonly from: HostIdentity;
    readonly heardAt: Milliseconds;
    readonly report: ServerReport;
};
