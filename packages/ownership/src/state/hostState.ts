import type { DataCentreId, HostId, Milliseconds, RowKey, ServerId, ServiceId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import type { AssignmentRow } from "../rows/assignmentRow.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { Versioned } from "../rows/versioned.js";
import type { OwnershipSettings } from "../settings/ownershipSettings.js";
import type { CoordinatorRole } from "./coordinatorRole.js";
import type { Grant } from "./grant.js";
import type { HostIdentity } from "./hostIdentity.js";
import type { KnownCoordinator } from "./knownCoordinator.js";
import type { Peer } from "./peer.js";
import type { Revocation } from "./revocation.js";
import type { SliceIndex } from "./sliceIndex.js";
import type { TableWork } from "./tableWork.js";

/** State of the ownership kernel of one entry host. Plain immutable data; none of it outlives the process. */
export type HostState = {
    readonly self: HostIdentity;
    readonly settings: OwnershipSettings;
    readonly configuration: { readonly version: number; readonly declaration: Declaration; } | undefined;
    readonly peers: Readonly<Record<HostId, Peer>>;
    /** Newest known rows of the table service. */
    readonly assignments: Readonly<Record<RowKey, Versioned<AssignmentRow>>>;
    readonly servers: Readonly<Record<ServerId, Versioned<ServerRow>>>;
    readonly slices: Readonly<Record<ServiceId, SliceIndex>>;
    /** Grants for the servers whose leases this host renews. */
    readonly grants: Readonly<Record<ServerId, Grant>>;
    readonly revocations: Readonly<Record<ServerId, readonly Revocation[]>>;
    /** Time until which each incarnation of a host may have this host's support, or a lease renewed under it; by server and incarnation. */
    readonly supportGivenUntil: Readonly<Record<ServerId, Readonly<Record<string, Milliseconds>>>>;
    readonly nextSupportRequestAt: Milliseconds;
    /** Requests that this host has in flight as grantor, by server and slice path. */
    readonly inFlight: Readonly<Record<ServerId, Readonly<Record<string, number>>>>;
    readonly coordinators: Readonly<Record<DataCentreId, KnownCoordinator>>;
    readonly coordinator: CoordinatorRole;
    readonly table: TableWork;
    /** Count of decisions so far: orders events within this incarnation and makes ids that are unique within it. */
    readonly counter: number;
    readonly isResigning: boolean;
    /** Whether something changed that the coordinator has to plan for. */
    readonly isPlanDue: boolean;
    /** Time of the newest input. */
    readonly updatedAt: Milliseconds;
};
