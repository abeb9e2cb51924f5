import type { Clock, Logger, Metrics, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { Predecessor } from "../coordination/predecessor.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { KeyOrders } from "../orders/keyOrders.js";
import type { RowTable } from "../store/rowTable.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyPlacement } from "./keyPlacement.js";
import type { OwnershipSettings } from "./ownershipSettings.js";
import type { RebalanceSettings } from "./rebalanceSettings.js";
import type { ServerLiveness } from "./serverLiveness.js";
import type { ServerSpeeds } from "./serverSpeeds.js";
import type { StoreTimeScale } from "./storeTimeScale.js";

/** Dependencies of the coordinator of one service. */
export type ServiceCoordinatorParts = {
    readonly service: ServiceId;
    /** Term of the lease at the start of the coordination. */
    readonly term: number;
    /** Earlier coordinators that may still renew grants. */
    readonly getPredecessors: () => readonly Predecessor[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly orders: KeyOrders;
    readonly table: RowTable<KeyMap>;
    /** Called after a map is committed. */
    readonly onCommitted: (row: WatchedRow<KeyMap>, era: number) => void;
    readonly directory: ServerDirectory;
    readonly liveness: ServerLiveness;
    readonly speeds: ServerSpeeds;
    /** Absent where every server may own keys. */
    readonly placement?: KeyPlacement;
    readonly lease: StoreTimeScale & {
        readonly storeContactAge: Milliseconds;
        /** Era of the store; the term is of the era in which the lease was taken. */
        readonly storeEra: number;
    };
    readonly settings: OwnershipSettings;
    readonly rebalance: RebalanceSettings;
    readonly stripeKeys: number;
    readonly isCurrent: () => boolean;
    readonly onHeld: (service: ServiceId, ranges: readonly (readonly [number, number])[]) => void;
};
