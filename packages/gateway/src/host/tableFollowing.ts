import type { LeaseReading } from "../coordination/leaseReading.js";
import type { ClusterState } from "./clusterState.js";
import type { createFollowers } from "./createFollowers.js";
import { setRunning } from "./setRunning.js";
import type { StoreFollowing } from "./storeFollowing.js";

/** Starts and stops this host's own reads of the store's tables. */
export class TableFollowing {
    private readonly state: ClusterState;
    private readonly followers: ReturnType<typeof createFollowers>;
    private readonly decision: StoreFollowing;

    constructor(
        state: ClusterState,
        followers: ReturnType<typeof createFollowers>,
        decision: StoreFollowing,
    ) {
        this.state = state;
        this.followers = followers;
        this.decision = decision;
    }

    /**
     * Follows the tables that have to be read now.
     *
     * @param isLinked whether an up-to-date coordinator sends this host all changes
     */
    review(isCoordinating: boolean, isLinked: boolean, lease: LeaseReading): void {
        const { configuration, keys, servers } = this.followers;
        const tableAge = Math.max(
            this.state.getTableAge("configuration"),
            this.state.getTableAge("servers"),
        );
        const followed = this.decision.decide({ isCoordinating, isLinked, lease, tableAge });
        setRunning(configuration, followed.changes);
        setRunning(servers, followed.changes);
        setRunning(keys, followed.keys);
    }
}
