import type { Milliseconds } from "@arbutusdoor/common";

/** A reading of a server's clock. */
export type ClockReading = {
    /** The server's own time. */
    readonly clock: Milliseconds;
    /** This host's time when it requested the reading; the server read its clock later. */
    readonly askedAt: Milliseconds;
    /** This host's time when the reading arrived; the server read its clock earlier. */
    readonly receivedAt: Milliseconds;
};
