import type { HostId, Milliseconds, RowKey, ServerId, ServiceId } from "@arbutusdoor/common";
import type { Attestation } from "@arbutusdoor/configuration";
import type { CoordinatorRow } from "../rows/coordinatorRow.js";
import type { Versioned } from "../rows/versioned.js";
import type { Probe } from "./probe.js";
import type { ReceivedReport } from "./receivedReport.js";
import type { RequestedChange } from "./requestedChange.js";
import type { TakeoverAttempt } from "./takeoverAttempt.js";

/** What this host keeps as decider of its data centre, or as one that may become it. */
export type CoordinatorRole = {
    /** Whether this host wrote the newest version of the row that it knows. */
    readonly isHeld: boolean;
    readonly row: Versioned<CoordinatorRow> | undefined;
    /** When this host first saw that version. */
    readonly rowSeenAt: Milliseconds;
    /** When the row was last read or written. */
    readonly checkedAt: Milliseconds;
    readonly nextCheckAt: Milliseconds;
    readonly nextHeartbeatAt: Milliseconds;
    /** When a decider was last heard, or this host began to listen. */
    readonly lastContactAt: Milliseconds;
    readonly nextPlanAt: Milliseconds;
    readonly nextSlicePlanAt: Milliseconds;
    /** Newest report of each grantor about each server. */
    readonly reports: Readonly<Record<ServerId, Readonly<Record<HostId, ReceivedReport>>>>;
    readonly takeovers: Readonly<Record<ServerId, TakeoverAttempt>>;
    /** Time before which no new round begins, by server. */
    readonly nextTakeoverAt: Readonly<Record<ServerId, Milliseconds>>;
    /** Hosts that gave a stop proof (the server's own word is kept under its grantor's name), by stop path. */
    readonly stopProofs: Readonly<Record<string, readonly string[]>>;
    /** Newest list version from which each run of a host has retired, by server. */
    readonly retired: Readonly<Record<ServerId, Readonly<Record<string, number>>>>;
    readonly probes: Readonly<Record<ServerId, Probe>>;
    readonly attestations: Readonly<Record<RowKey, Versioned<Attestation>>>;
    readonly requestedChanges: readonly RequestedChange[];
    /** When servers of a service without assignment were first seen. */
    readonly firstServerSeenAt: Readonly<Record<ServiceId, Milliseconds>>;
};
