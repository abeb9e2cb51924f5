import type { Clock, Milliseconds } from "@arbutusdoor/common";

/** A moment by both clocks of the machine. */
type Mark = { readonly steady: Milliseconds; readonly wall: Milliseconds; };

/**
 * Measures time that may include a suspension of the machine, which the steady clock does not count. The wall clock may jump:
 * the longer of the two is taken, so that a span is never measured too short.
 */
export const suspendAwareTime = {
    mark(clock: Clock): Mark {
        return { steady: clock.now(), wall: clock.wallTime() };
    },

    getElapsed(clock: Clock, since: Mark): Milliseconds {
        return Math.max(clock.now() - since.steady, clock.wallTime() - since.wall);
    },
};
