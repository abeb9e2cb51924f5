import type { Row } from "@arbutusdoor/clients";
import type {
    DataCentreId,
    Milliseconds,
    ServerId,
    ServerIncarnation,
    ServiceId,
    SliceId,
} from "@arbutusdoor/common";
import type { ServerReport } from "./serverReport.js";

/** Messages between entry hosts about ownership. Plain data; any message may be lost, repeated or late. */
export type OwnershipMessage =
    /** Committed rows. The receiver keeps the higher version of each. */
    | { readonly kind: "rows"; readonly rows: readonly Row[]; }
    /** Requests all rows that the receiver knows. */
    | { readonly kind: "rowsWanted"; }
    /** Heartbeat of a coordinator: the sender holds the coordinator row of a data centre. */
    | { readonly kind: "deciderHere"; readonly dataCentre: DataCentreId; readonly term: number; }
    /** Whether the sender is about to stop. */
    | { readonly kind: "hostStatus"; readonly isResigning: boolean; }
    /** A grantor's report about a server, for the coordinator. */
    | { readonly kind: "serverReport"; readonly report: ServerReport; }
    /**
     * Revokes a server's lease: demands that a grantor renews and sends nothing to that incarnation of the server as long as the server's
     * row is not newer than `basisVersion`.
     */
    | {
        readonly kind: "bar";
        readonly server: ServerId;
        readonly incarnation: ServerIncarnation;
        readonly barId: number;
        readonly basisVersion: number;
        /** The server's row at that version. */
        readonly row: Row;
    }
    /** Confirms a revocation; sent only after the latest lease that the sender may have renewed has expired. */
    | {
        readonly kind: "barConfirmed";
        readonly server: ServerId;
        readonly barId: number;
        readonly basisVersion: number;
        /** Incarnations of other grantors that have no support from the sender any more. */
        readonly denied: readonly string[];
    }
    /** Requests support for renewing servers' leases; gives the sender's row version of each server, and its own time. */
    | {
        readonly kind: "promisesWanted";
        readonly askedAt: Milliseconds;
        readonly servers: readonly { readonly server: ServerId; readonly rowVersion: number; }[];
    }
    /** Gives support: the sender does not count the receiver as unsupported for a while from the time of its request. */
    | { readonly kind: "promised"; readonly askedAt: Milliseconds; readonly servers: readonly ServerId[]; }
    /** Refuses a revocation: the server answers the sender. */
    | { readonly kind: "barRefused"; readonly server: ServerId; readonly barId: number; }
    /** Withdraws a revocation; does not withdraw a later one of the same coordinator. */
    | { readonly kind: "unbar"; readonly server: ServerId; readonly barId: number; }
    /** A stop proof of one slice: acknowledged by the server, or given by the sender for what it sent to the server itself. */
    | {
        readonly kind: "sliceStopped";
        readonly service: ServiceId;
        readonly slice: SliceId;
        readonly fence: number;
        readonly server: ServerId;
        readonly incarnation: ServerIncarnation;
        readonly by: "server" | "grantor";
    }
    /** The sender, dropped by that grantor list, sends the server nothing more and has nothing in flight. */
    | { readonly kind: "retired"; readonly server: ServerId; readonly listVersion: number; };
