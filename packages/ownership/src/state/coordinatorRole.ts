import type { HostId, Milliseconds, RowKey, ServerId, ServiceId } from "@arbutusdoor/common";
import type { Attestation } from "@arbutusdoor/configuration";
import type { CoordinatorRow } from "../rows/coordinatorRow.js";
import type { Versioned } from "../rows/versioned.js";
import type { Probe } from "./probe.js";
import type { ReceivedReport } from "./receivedReport.js";
import type { RequestedChange } from "./requestedChange.js";
import type { TakeoverAttempt } from "./takeoverAttempt.js";

/** State of this host as coordinator of its data centre, or as a candidate for it. */
export type CoordinatorRole = {
    /** Whether the newest version of the row that this host knows names it and is not released. */
    readonly isHeld: boolean;
    readonly row: Versioned<CoordinatorRow> | undefined;
    /** When this host first saw that version. */
    readonly rowSeenAt: Milliseconds;
    /** When the row was last read or written. */
    readonly checkedAt: Milliseconds;
    readonly nextCheckAt: Milliseconds;
    readonly nextHeartbeatAt: Milliseconds;
    /** When a coordinator was last heard from; 0 if never. */
    readonly lastContactAt: Milliseconds;
    readonly nextPlanAt: Milliseconds;
    readonly nextSlicePlanAt: Milliseconds;
    /** Newest report of each grantor about each server. */
    readonly reports: Readonly<Record<ServerId, Readonly<Record<HostId, ReceivedReport>>>>;
    readonly takeovers: Readonly<Record<ServerId, TakeoverAttempt>>;
    /** Time before which no new takeover attempt begins, by server. */
    readonly nextTakeoverAt: Readonly<Record<ServerId, Milliseconds>>;
    /**
     * Incarnations of hosts that sent a stop proof, by stop proof key. A server's own acknowledgement is recorded under the grantor that
     * sent it.
     */
    readonly stopProofs: Readonly<Record<string, readonly string[]>>;
    /** Newest list version that each incarnation of a host has retired under, by server. */
    readonly retired: Readonly<Record<ServerId, Readonly<Record<string, number>>>>;
    readonly probes: Readonly<Record<ServerId, Probe>>;
    readonly attestations: Readonly<Record<RowKey, Versioned<Attestation>>>;
    readonly requestedChanges: readonly RequestedChange[];
    /** When a service first had a server row. */
    readonly firstServerSeenAt: Readonly<Record<ServiceId, Milliseconds>>;
};
