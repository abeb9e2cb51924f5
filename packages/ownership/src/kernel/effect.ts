import type { Order, TableTransaction } from "@arbutusdoor/clients";
import type { HostId, LogEvent, LogFields, Milliseconds, RowKey } from "@arbutusdoor/common";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";

/** What the driver is to do. Results come back as inputs; they may be late, lost or out of order. */
export type Effect =
    | { readonly kind: "sendPeer"; readonly to: HostId; readonly message: OwnershipMessage; }
    | {
        readonly kind: "sendOrder";
        readonly address: string;
        readonly order: Order;
        readonly timeout: Milliseconds;
    }
    | { readonly kind: "transact"; readonly transaction: TableTransaction; }
    /** Reads rows by key, or all rows of a prefix; the result comes back as `tableRead` with the tag. */
    | {
        readonly kind: "readRows";
        readonly tag: string;
        readonly keys?: readonly RowKey[];
        readonly prefix?: string;
    }
    | { readonly kind: "log"; readonly event: LogEvent; readonly fields: LogFields; };
