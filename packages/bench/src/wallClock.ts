import { SystemClock } from "@arbutusdoor/common";

/** The machine's clock, for measuring how long the bench's own calls take; simulated time has clocks of its own. */
export const wallClock = new SystemClock();
