import type { Clock, Logger } from "@arbutusdoor/common";
import { TableFollower } from "../store/tableFollower.js";
import type { ClusterState } from "./clusterState.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";

/** Followers of the store's tables, by table. */
type Followers = Readonly<Record<"configuration" | "servers" | "keys", TableFollower<never>>>;

/** Creates the followers that keep a host's state up to date from the store. */
export function createFollowers(
    { configuration, keys, servers }: ClusterState,
    adapters: GatewayAdapters,
    clock: Clock,
    logger: Logger,
): Followers {
    const parts = { clock, logger };
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
