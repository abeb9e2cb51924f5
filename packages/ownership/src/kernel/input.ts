import type { Order, OrderOutcome, TableOutcome, TableRead } from "@arbutusdoor/clients";
import type { Milliseconds, OperationId, ServerId, ServiceId, SliceId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";
import type { HostIdentity } from "../state/hostIdentity.js";

/** Everything that reaches the kernel from outside. */
export type Input =
    /** Time has passed; due every 20 ms. */
    | { readonly kind: "tick"; }
    /** A configuration version is in force on this host. A lower version than before is ignored. */
    | { readonly kind: "configurationChanged"; readonly version: number; readonly declaration: Declaration; }
    | { readonly kind: "peerUp"; readonly identity: HostIdentity; }
    | { readonly kind: "peerDown"; readonly identity: HostIdentity; }
    | { readonly kind: "peerMessage"; readonly from: HostIdentity; readonly message: OwnershipMessage; }
    /** An order ended; `sentAt` is the host's time when it was handed to the network. */
    | {
        readonly kind: "orderReply";
        readonly order: Order;
        readonly sentAt: Milliseconds;
        readonly outcome: OrderOutcome;
    }
    | { readonly kind: "tableDone"; readonly operationId: OperationId; readonly outcome: TableOutcome; }
    | { readonly kind: "tableRead"; readonly tag: string; readonly outcome: TableRead; }
    /** This host, as grantor, sent a request for a slice to a server. */
    | {
        readonly kind: "requestStarted";
        readonly server: ServerId;
        readonly service: ServiceId;
        readonly slice: SliceId;
    }
    /** Such a request ended; nothing of it can reach the server any more, as far as this host can know. */
    | {
        readonly kind: "requestEnded";
        readonly server: ServerId;
        readonly service: ServiceId;
        readonly slice: SliceId;
    }
    /** A move requested for balance; ignored unless this host coordinates the slice's home data centre. */
    | {
        readonly kind: "moveWanted";
        readonly service: ServiceId;
        readonly slice: SliceId;
        readonly to: ServerId;
    }
    /** A hot key of a range is to get a slice of its own; ignored unless this host coordinates the slice's home data centre. */
    | {
        readonly kind: "splitWanted";
        readonly service: ServiceId;
        readonly slice: SliceId;
        readonly key: string;
    }
    /** The host is to stop: it gives up the coordinator role and leaves all grantor lists. */
    | { readonly kind: "resign"; };
