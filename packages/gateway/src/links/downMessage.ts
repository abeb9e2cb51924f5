import type { Milliseconds } from "@arbutusdoor/common";
import type { WatchedRow } from "../store/watchedRow.js";
import type { TableName } from "./tableName.js";

/** What the coordinator sends to the hosts that are linked to it. */
export type DownMessage =
    | {
        readonly kind: "rows";
        readonly table: TableName;
        /** Version that the rows follow; `undefined` when they are the whole table. */
        readonly after: number | undefined;
        readonly asOf: number;
        readonly rows: readonly WatchedRow<unknown>[];
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
