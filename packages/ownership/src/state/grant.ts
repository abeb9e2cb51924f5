import type { Milliseconds, ServerId, ServerIncarnation } from "@arbutusdoor/common";
import type { ClockReading } from "./clockReading.js";

/** What this host keeps as grantor of one run of a server under one epoch of its lease. */
export type Grant = {
    readonly server: ServerId;
    readonly incarnation: ServerIncarnation;
    readonly epoch: number;
    /** Count of the host's decisions when it learnt that it is a grantor; it grants slices only after a scan that began later. */
    readonly since: number;
    /** When this host learnt of the run. */
    readonly knownSince: Milliseconds;
    /** Newest clock readings of the run, newest first. */
    readonly readings: readonly ClockReading[];
    /** Time by which every lease that this host renewed, or saw renewed, has ended; by this host's clock. */
    readonly latestLeaseEnd: Milliseconds;
    /** Time until which the server's lease surely lasts; by this host's clock. */
    readonly earliestLeaseEnd: Milliseconds;
    /** When the run last answered. */
    readonly repliedAt: Milliseconds;
    /** Grantor list version and epoch that the run last acknowledged; 0 when unknown. */
    readonly listVersion: number;
    readonly acknowledgedEpoch: number;
    /** When this host learnt the version of the committed list. */
    readonly listKnownSince: Milliseconds;
    /** Time until which promises of other hosts to this one count, by run. */
    readonly supportUntil: Readonly<Record<string, Milliseconds>>;
    /** Generations that the server said it holds, by slice path. */
    readonly taken: Readonly<Record<string, number>>;
    /** Fences that the server acknowledged, by slice path. */
    readonly fenced: Readonly<Record<string, number>>;
    readonly otherIncarnation: ServerIncarnation | undefined;
    readonly isLeaving: boolean;
    /** Whether the last order found nothing that listens. */
    readonly isRefused: boolean;
    /** When the order under way was sent, if one is. */
    readonly orderSentAt: Milliseconds | undefined;
    readonly nextOrderAt: Milliseconds;
    readonly nextReportAt: Milliseconds;
    /** Whether the last report called the server suspect. */
    readonly isReportedSuspect: boolean;
};
