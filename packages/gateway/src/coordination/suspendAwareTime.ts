import type { Clock, Milliseconds } from "@arbutusdoor/common";

/** A point in time by both clocks of the machine. */
type Mark = { readonly steady: Milliseconds; readonly wall: Milliseconds; };

/**
 * Measures elapsed time including suspensions of the machine, which the steady clock does not count. The wall clock may jump: the longer of
 * the two times counts, so that none is measured too short.
 */
export const suspendAwareTime = {
    mark(clock: Clock): Mark {
        return { steady: clock.now(), wall: clock.wallTime() };
    },

    getElapsed(clock: Clock, since: Mark): Milliseconds {
        return Math.max(clock.now() - since.steady, clock.wallTime() - since.wall);
    },
};
