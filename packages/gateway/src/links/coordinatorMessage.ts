import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnedRange } from "../ownership/ownedRange.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { TableName } from "./tableName.js";

/** What the coordinator sends to the hosts that are linked to it. */
export type CoordinatorMessage =
    | {
        readonly kind: "rows";
        readonly table: TableName;
        /** Version that the rows follow; `undefined` when they are the whole table. */
        readonly after: number | undefined;
        readonly asOf: number;
        readonly rows: readonly WatchedRow<unknown>[];
    }
    | {
        readonly kind: "keys";
        readonly service: string;
        /** Version of the row that the changes follow; `undefined` when the map is whole. */
        readonly after: number | undefined;
        readonly version: number;
        readonly term: number;
        readonly fence: number;
        /** The whole map encoded, or only the ranges that differ from the version before. */
        readonly map: Uint8Array | undefined;
        readonly ranges: readonly OwnedRange[];
    }
    | {
        readonly kind: "beat";
        readonly term: number;
        /** Time since the store last answered the coordinator. */
        readonly storeAgeMs: Milliseconds;
        /** Hosts that are linked, the coordinator included. */
        readonly hosts: number;
    }
    | {
        readonly kind: "held";
        readonly service: string;
        /** Ranges whose owner has confirmed its grant: first key and fence. */
        readonly ranges: readonly (readonly [first: number, fence: number])[];
    };
