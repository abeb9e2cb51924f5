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

/** What entry hosts tell each other about ownership. Plain data; any message may be lost, repeated or late. */
export type OwnershipMessage =
    /** Committed rows. The receiver keeps the higher version of each. */
    | { readonly kind: "rows"; readonly rows: readonly Row[]; }
    /** Asks for all rows that the receiver knows. */
    | { readonly kind: "rowsWanted"; }
    /** The sender holds the decider row of a data centre. */
    | { readonly kind: "deciderHere"; readonly dataCentre: DataCentreId; readonly term: number; }
    /** The sender is about to stop, or not any more. */
    | { readonly kind: "hostStatus"; readonly isResigning: boolean; }
    /** What a grantor sees of a server; goes to the decider. */
    | { readonly kind: "serverReport"; readonly report: ServerReport; }
    /**
     * Asks a grantor to promise that it renews and sends nothing to that run of a server as long as the server's row
     * is not newer than `basisVersion`.
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
    /** The promise: given only after the latest lease that the sender could have renewed has ended. */
    | {
        readonly kind: "barConfirmed";
        readonly server: ServerId;
        readonly barId: number;
        readonly basisVersion: number;
        /** Runs of other grantors to which no promise of the sender counts any more. */
        readonly denied: readonly string[];
    }
    /** A grantor asks another one for promises about servers; it names its row version of each, and its own time. */
    | {
        readonly kind: "promisesWanted";
        readonly askedAt: Milliseconds;
        readonly servers: readonly { readonly server: ServerId; readonly rowVersion: number; }[];
    }
    /** Promises not to count the receiver barred for a while from the time at which it asked. */
    | { readonly kind: "promised"; readonly askedAt: Milliseconds; readonly servers: readonly ServerId[]; }
    /** No promise: the server answers the sender. */
    | { readonly kind: "barRefused"; readonly server: ServerId; readonly barId: number; }
    /** Gives a promise back; lifts no later bar of the same decider. */
    | { readonly kind: "unbar"; readonly server: ServerId; readonly barId: number; }
    /** A stop proof of one slice: by the server's word, or by the sender's for what itself sent to the server. */
    | {
        readonly kind: "sliceStopped";
        readonly service: ServiceId;
        readonly slice: SliceId;
        readonly fence: number;
        readonly server: ServerId;
        readonly incarnation: ServerIncarnation;
        readonly by: "server" | "grantor";
    }
    /** The sender, dropped from that grantor list, sends the server nothing more and has nothing under way. */
    | { readonly kind: "retired"; readonly server: ServerId; readonly listVersion: number; };
