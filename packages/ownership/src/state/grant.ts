import type { Milliseconds, ServerId, ServerIncarnation } from "@arbutusdoor/common";
import type { ClockReading } from "./clockReading.js";

/** State of this host as grantor of one incarnation of a server under one epoch of its lease. */
export type Grant = {
    readonly server: ServerId;
    readonly incarnation: ServerIncarnation;
    readonly epoch: number;
    /** The host's counter when it became grantor; it grants slices only after a scan that began later. */
    readonly since: number;
    /** When this host first knew the incarnation. */
    readonly knownSince: Milliseconds;
    /** Newest clock readings of the incarnation, newest first. */
    readonly readings: readonly ClockReading[];
    /** Time by which every lease that this host renewed, or saw renewed, has expired; by this host's clock. */
    readonly latestLeaseEnd: Milliseconds;
    /** Time until which the server's lease certainly lasts; by this host's clock. */
    readonly earliestLeaseEnd: Milliseconds;
    /** When the newest order that the incarnation has answered was sent. */
    readonly repliedAt: Milliseconds;
    /** Grantor list version and epoch that the incarnation last acknowledged; 0 when unknown. */
    readonly listVersion: number;
    readonly acknowledgedEpoch: number;
    /** When this host first knew the present grantor list. */
    readonly listKnownSince: Milliseconds;
    /** Time until which other hosts support this one, by incarnation. */
    readonly supportUntil: Readonly<Record<string, Milliseconds>>;
    /** Generations that the server has reported as taken, by slice path. */
    readonly taken: Readonly<Record<string, number>>;
    /** Fences that the server has acknowledged, by slice path. */
    readonly fenced: Readonly<Record<string, number>>;
    readonly otherIncarnation: ServerIncarnation | undefined;
    readonly isLeaving: boolean;
    /** Whether nothing listened at the server's address for the last order. */
    readonly isRefused: boolean;
    /** When the order in flight was sent, if there is one. */
    readonly orderSentAt: Milliseconds | undefined;
    readonly nextOrderAt: Milliseconds;
    readonly nextReportAt: Milliseconds;
    /** Whether the last report called the server suspect. */
    readonly isReportedSuspect: boolean;
};
