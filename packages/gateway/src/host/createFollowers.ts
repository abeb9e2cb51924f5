import type { Clock, Logger } from "@arbutusdoor/common";
import type { StoreAvailability } from "../store/storeAvailability.js";
import { TableFollower } from "../store/tableFollower.js";
import type { ClusterState } from "./clusterState.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";

/**
 * All hosts learn of changes through the coordinator's reads, so that it repeats them often. With 800 ms, hosts whose coordinator was short of
 * processor time took its tables for outdated and read the store themselves.
 */
const COORDINATOR_WAIT_MS = 500;
/** A hung call, which is given up 600 ms later, delays a change by less than 2 s. */
const HOST_WAIT_MS = 1_000;

/** Followers of the store's tables, by table. */
type Followers = Readonly<Record<"configuration" | "servers" | "keys", TableFollower<never>>>;

/** Creates the followers that keep a host's state up to date from the store. */
export function createFollowers(
    { configuration, keys, servers }: ClusterState,
    adapters: GatewayAdapters,
    clock: Clock,
    logger: Logger,
    availability: StoreAvailability,
    isCoordinating: () => boolean,
    onEra: (era: number | undefined) => void,
): Followers {
    const getWait = () => isCoordinating() ? COORDINATOR_WAIT_MS : HOST_WAIT_MS;
    const parts = { availability, clock, logger, getWait, onEra };
    return {
        configuration: new TableFollower({
            ...parts,
            table: "configuration",
            source: adapters.configuration,
            view: configuration,
        }),
        servers: new TableFollower({ ...parts, table: "servers", source: adapters.servers, view: servers }),
        keys: new TableFollower({ ...parts, table: "keys", source: adapters.keys, view: keys }),
    } as unknown as Followers;
}
