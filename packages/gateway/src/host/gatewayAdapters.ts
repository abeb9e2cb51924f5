import type { BackendClient } from "../backends/backendClient.js";
import type { OperatorEntry } from "../configuration/operatorEntry.js";
import type { CoordinatorLease } from "../coordination/coordinatorLease.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { KeyOrders } from "../orders/keyOrders.js";
import type { KeyMap } from "../ownership/keyMap.js";
import type { CallerHeaderCodec } from "../requests/callerHeaderCodec.js";
import type { RowSource } from "../store/rowSource.js";
import type { RowTable } from "../store/rowTable.js";

/** Adapters of a gateway host to other systems: everything that implements an external protocol. */
export type GatewayAdapters = {
    readonly configuration: RowSource<OperatorEntry>;
    readonly servers: RowSource<RegisteredServer>;
    readonly keys: RowTable<KeyMap>;
    readonly leases: RowTable<CoordinatorLease>;
    readonly orders: KeyOrders;
    readonly backends: BackendClient;
    readonly callerHeaders: CallerHeaderCodec;
    /** Makes all later calls of the tables to the store at another address (IP address and port). */
    readonly moveStore: (address: string) => void;
};
