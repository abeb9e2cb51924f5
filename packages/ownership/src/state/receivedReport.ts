import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerReport } from "../messages/serverReport.js";
import type { HostIdentity } from "./hostIdentity.js";

/** A grantor's report as the coordinator received it. */
export type ReceivedReport = {
    readonly from: HostIdentity;
    readonly receivedAt: Milliseconds;
    readonly report: ServerReport;
};
