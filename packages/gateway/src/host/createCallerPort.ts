import {
    type Clock,
    type Logger,
    type Metrics,
    type RandomSource,
    ShutdownSchedule,
} from "@arbutusdoor/common";
import { TargetRotation } from "../configuration/targetRotation.js";
import type { HostCount } from "../links/hostCount.js";
import { CallerPort } from "../requests/callerPort.js";
import { RequestRouter } from "../requests/requestRouter.js";
import { DataCentreTraffic } from "../routing/dataCentreTraffic.js";
import type { KeyRouting } from "../routing/keyRouting.js";
import type { LoadReporter } from "../routing/loadReporter.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import { PoolRouting } from "../routing/poolRouting.js";
import type { ServerAdmission } from "../routing/serverAdmission.js";
import { ServerLoads } from "../routing/serverLoads.js";
import { SharedRetryBudget } from "../routing/sharedRetryBudget.js";
import { SpillScope } from "../routing/spillScope.js";
import type { HostSettings } from "../settings/hostSettings.js";
import type { ClusterState } from "./clusterState.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";
import type { GatewayOptions } from "./gatewayOptions.js";

/** Hosts assumed to share servers' connections before a coordinator has sent their number: the usual size of a site. */
const DEFAULT_HOSTS = 10;

/** Dependencies of a caller port. */
type CallerPortParts = {
    readonly getSettings: () => HostSettings;
    readonly options: GatewayOptions;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly adapters: GatewayAdapters;
    readonly state: ClusterState;
    readonly keys: KeyRouting;
    readonly admission: ServerAdmission;
    readonly loads: LoadReporter;
    readonly overload: OverloadControl;
    /** Number of hosts that share the servers' connections and the retry budget. */
    readonly hosts: HostCount;
};

/** Creates the caller port with everything that routes its requests. */
export function createCallerPort(parts: CallerPortParts): CallerPort {
    const { adapters, admission, clock, getSettings, hosts, keys, state, loads, logger, metrics, random } =
        parts;
    const getBudgetBounds = () => {
        const { retryAllowance, retryShare, retryWindowMs } = getSettings().bounds;
        return { share: retryShare, windowMs: retryWindowMs, allowance: retryAllowance };
    };
    // A host that does not know how many hosts share the allowance takes nothing of it.
    const budget = new SharedRetryBudget(getBudgetBounds, () => hosts.recentMax ?? Infinity, clock.now());
    const { directory } = state;
    const { dataCentre } = getSettings();
    const traffic = new DataCentreTraffic({ dataCentre, clock, logger, metrics });
    const serverLoads = new ServerLoads(logger, metrics);
    const pools = new PoolRouting({
        directory,
        admission,
        dataCentre,
        spill: parts.options.spill,
        spillScope: new SpillScope(server => serverLoads.getReport(server, clock.now()) !== undefined),
        traffic,
        clock,
        random,
        getHosts: () => hosts.recentMax ?? DEFAULT_HOSTS,
        getExpectedStart: server => serverLoads.getExpectedStart(server, clock.now()),
    });
    const { backends, callerHeaders } = adapters;
    const shutdown = new ShutdownSchedule(clock);
    const router = new RequestRouter({
        clock,
        logger,
        metrics,
        backends,
        keys,
        pools,
        admission,
        budget,
        loads,
        serverLoads,
        overload: parts.overload,
        shutdown,
        traffic,
    });
    const rotation = new TargetRotation();
    return new CallerPort({
        clock,
        logger,
        metrics,
        router,
        dialect: callerHeaders,
        rotation,
        shutdown,
        getRoutes: () => state.routes,
    });
}
