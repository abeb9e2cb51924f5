import type { Clock, Logger, Metrics, RandomSource } from "@arbutusdoor/common";
import { TargetRotation } from "../configuration/targetRotation.js";
import type { HostCount } from "../links/hostCount.js";
import { CallerPort } from "../requests/callerPort.js";
import { RequestRouter } from "../requests/requestRouter.js";
import type { KeyRouting } from "../routing/keyRouting.js";
import type { LoadReporter } from "../routing/loadReporter.js";
import { PoolRouting } from "../routing/poolRouting.js";
import { SharedRetryBudget } from "../routing/sharedRetryBudget.js";
import type { HostSettings } from "../settings/hostSettings.js";
import type { ClusterState } from "./clusterState.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";

/** Hosts assumed to share servers' connections before the coordinator has said how many there are: the usual size of a site. */
const DEFAULT_HOSTS = 10;

/** What the callers' port of a host is made of. */
type FrontParts = {
    readonly getSettings: () => HostSettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly adapters: GatewayAdapters;
    readonly knowledge: ClusterState;
    readonly keys: KeyRouting;
    readonly loads: LoadReporter;
    /** Hosts that share the servers' connections and the budget of repeats. */
    readonly hosts: HostCount;
};

/** The callers' port with everything that routes its requests. */
export function createCallerPort(parts: FrontParts): CallerPort {
    const { adapters, clock, getSettings, hosts, keys, knowledge, loads, logger, metrics, random } = parts;
    const getBudgetBounds = () => {
        const { retryAllowance, retryShare, retryWindowMs } = getSettings().bounds;
        return { share: retryShare, windowMs: retryWindowMs, allowance: retryAllowance };
    };
    // A host that does not know with how many it shares the allowance takes nothing of it.
    const budget = new SharedRetryBudget(getBudgetBounds, () => hosts.recentMax ?? Infinity, clock.now());
    const { directory } = knowledge;
    const pools = new PoolRouting({
        directory,
        dataCentre: getSettings().dataCentre,
        clock,
        random,
        getHosts: () => hosts.recentMax ?? DEFAULT_HOSTS,
    });
    const { backends, callerHeaders: dialect } = adapters;
    const router = new RequestRouter({ clock, logger, metrics, backends, keys, pools, budget, loads });
    const rotation = new TargetRotation();
    return new CallerPort({
        clock,
        logger,
        metrics,
        router,
        dialect,
        rotation,
        getRoutes: () => knowledge.routes,
    });
}
