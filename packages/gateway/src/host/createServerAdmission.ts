import type { Clock, Logger, Metrics, RandomSource, ServiceId } from "@arbutusdoor/common";
import type { HostCount } from "../links/hostCount.js";
import { KeyPlacement } from "../ownership/keyPlacement.js";
import { ColdServers } from "../routing/coldServers.js";
import { EvacuationLimit } from "../routing/evacuationLimit.js";
import { getColdLimit } from "../routing/getColdLimit.js";
import { QuietServers } from "../routing/quietServers.js";
import { ServerAdmission } from "../routing/serverAdmission.js";
import type { HostSettings } from "../settings/hostSettings.js";
import type { ClusterState } from "./clusterState.js";

/** A leaving server gets requests until this long before the limit. */
const DRAIN_MARGIN_MS = 300;

/** Dependencies of the admission. */
type AdmissionParts = {
    readonly getSettings: () => HostSettings;
    readonly state: ClusterState;
    readonly hosts: HostCount;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Creates the rules by which servers get requests, and by which they get keys. */
export function createServerAdmission(
    { clock, getSettings, hosts, logger, metrics, random, state }: AdmissionParts,
): { readonly admission: ServerAdmission; readonly placement: KeyPlacement; } {
    const { directory, evacuations } = state;
    const getLimit = (service: ServiceId) =>
        getColdLimit(getSettings().bounds, state.routes?.getService(service));
    const cold = new ColdServers({
        host: getSettings().host,
        directory,
        clock,
        logger,
        metrics,
        getLimit,
        getHosts: () => hosts.lastingMax,
    });
    const evacuation = new EvacuationLimit(evacuations, () => getSettings().bounds.evacuationMs);
    metrics.gauge("arbutusdoor_evacuated_data_centres", () => evacuations.size);
    const placement = new KeyPlacement({
        directory,
        evacuations,
        limitsCold: service => getLimit(service) !== undefined,
    });
    const admission = new ServerAdmission(
        directory,
        new QuietServers(clock, random, logger, metrics),
        () => getSettings().bounds.drainMs - DRAIN_MARGIN_MS,
        logger,
        { cold, evacuation },
    );
    return { admission, placement };
}
