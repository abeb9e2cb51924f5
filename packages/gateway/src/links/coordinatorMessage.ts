import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnedRange } from "../ownership/ownedRange.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { OverloadedServer } from "./overloadedServer.js";
import type { TableName } from "./tableName.js";

/** A message from the coordinator to the hosts that are connected to it. */
export type CoordinatorMessage =
    | {
        readonly kind: "rows";
        readonly table: TableName;
        /** Version after which the rows changed; `undefined` when they are the whole table. */
        readonly after: number | undefined;
        readonly asOf: number;
        /** Store times between which the rows changed; absent in messages of earlier versions. */
        readonly changedAfter?: Milliseconds;
        readonly completeAt?: Milliseconds;
        /** Whether the coordinator's reads of the table failed before. */
        readonly isAfterOutage?: boolean;
        /** Keys of further rows of a whole table, which the host knows. */
        readonly knownKeys?: readonly string[];
        readonly rows: readonly WatchedRow<unknown>[];
        /** Era of the store; absent in the first one and in messages of earlier versions. */
        readonly era?: number;
    }
    | {
        readonly kind: "keys";
        readonly service: string;
        /** Version of the row to which the changes apply; `undefined` when the map is complete. */
        readonly after: number | undefined;
        readonly version: number;
        readonly term: number;
        /** Highest fencing token ever used for the service. */
        readonly fence: number;
        /** The complete map, encoded; `undefined` when only changes are sent. */
        readonly map: Uint8Array | undefined;
        /** The ranges that differ from the version before; empty when the map is complete. */
        readonly ranges: readonly OwnedRange[];
        /** Era of the store; absent in the first one and in messages of earlier versions. */
        readonly era?: number;
    }
    | {
        readonly kind: "beat";
        readonly term: number;
        /** Time since the store last answered the coordinator. */
        readonly storeAgeMs: Milliseconds;
        /** Number of connected hosts, including the coordinator. */
        readonly hosts: number;
        /** The store's time by the coordinator's estimate; absent when unknown and in messages of earlier versions. */
        readonly storeTime?: Milliseconds;
        /** Store time up to which the coordinator knows all changes of each table. */
        readonly completeAt?: Readonly<Partial<Record<TableName, Milliseconds>>>;
        /** Version of the store up to which the coordinator has sent all changes of each table; absent in messages of earlier versions. */
        readonly asOf?: Readonly<Partial<Record<TableName, number>>>;
        /** Era of the store; absent in the first one and in messages of earlier versions. */
        readonly era?: number;
        /** Servers that shed requests; absent when there are none, and where admission is not by estimates. */
        readonly overloaded?: readonly OverloadedServer[];
    }
    | {
        readonly kind: "held";
        readonly service: string;
        /** Ranges whose owner has confirmed its grant: first key and fencing token. */
        readonly ranges: readonly (readonly [first: number, fence: number])[];
    };
