import * as z from "zod";

/** Settings of the ownership kernel; every time is in milliseconds. */
const OwnershipSettings = z.strictObject({
    /** Time between two renewals of a server's lease by one grantor. */
    renewIntervalMs: z.int().min(10).max(60_000).default(200),
    /** Validity of a renewal, counted from the server's own clock reading. */
    leaseMs: z.int().min(50).max(600_000).default(600),
    /** Longest wait for a server's reply to an order. */
    orderTimeoutMs: z.int().min(10).max(60_000).default(150),
    /** Time without an answer after which a grantor suspects a server. */
    suspectAfterMs: z.int().min(20).max(600_000).default(300),
    /** Largest difference in rate between two clocks, in parts per million. */
    clockDriftPpm: z.int().min(0).max(100_000).default(1000),
    /** Entry hosts that may renew one server's lease. */
    grantorsPerServer: z.int().min(1).max(7).default(3),
    /**
     * Number of grantors, itself included, whose support each of three or more grantors needs to renew. With 1, a server that is lost
     * together with one of its grantors waits for an operator. With 2 it does not, but a server that survives the loss of all its grantors
     * but one is without a lease until the list has changed, and no entry host's monotonic clock may stop while the host is paused.
     */
    promisesPerGrantor: z.int().min(1).max(2).default(1),
    /** Validity of such support. */
    promiseMs: z.int().min(50).max(600_000).default(300),
    /** Time between two requests for support. */
    promiseIntervalMs: z.int().min(10).max(60_000).default(100),
    /** Time after the loss of a peer link before the peer is replaced as grantor. */
    grantorLossMs: z.int().min(0).max(600_000).default(500),
    /** Time between a grantor's reports about a server to the coordinator. */
    reportIntervalMs: z.int().min(10).max(60_000).default(400),
    /** Time without a renewed coordinator row after which another host claims it. */
    deciderLeaseMs: z.int().min(100).max(600_000).default(1200),
    /** Time between two renewals of the coordinator row. */
    deciderRenewMs: z.int().min(20).max(600_000).default(400),
    /** Time between two heartbeats of the coordinator to its peers. */
    beatIntervalMs: z.int().min(10).max(60_000).default(200),
    /** Time between two repeats of an unanswered revocation. */
    barRepeatMs: z.int().min(10).max(60_000).default(50),
    /** Mean time between two scans of all rows by one host. */
    tableReadIntervalMs: z.int().min(100).max(3_600_000).default(5000),
    /** Time after which a table call without a result counts as unknown. */
    tableTimeoutMs: z.int().min(50).max(600_000).default(2000),
    /** First wait after a table failure; doubles up to the longest, with jitter. */
    tableBackoffMinMs: z.int().min(1).max(60_000).default(50),
    /** Longest wait after a table failure. */
    tableBackoffMaxMs: z.int().min(1).max(600_000).default(1000),
    /** Transactions of one host in progress at a time. */
    transactionsInProgress: z.int().min(1).max(1000).default(16),
    /** Rows of one transaction. */
    rowsPerTransaction: z.int().min(2).max(1000).default(32),
    /** Slices of one assignment row in a service's initial assignment. */
    slicesPerShard: z.int().min(1).max(4096).default(64),
    /** Planned moves of one service in progress at a time. */
    movesInProgress: z.int().min(1).max(65_536).default(256),
    /** Requested moves and splits that may wait to be made. */
    wantedMoves: z.int().min(1).max(65_536).default(256),
    /** Slices named in one order, to take or to fence. */
    slicesPerOrder: z.int().min(1).max(65_536).default(512),
    /** Wait for the remaining declared servers before a service's initial assignment. */
    firstAssignmentDelayMs: z.int().min(0).max(600_000).default(2000),
});

type OwnershipSettings = z.infer<typeof OwnershipSettings>;

export { OwnershipSettings };
