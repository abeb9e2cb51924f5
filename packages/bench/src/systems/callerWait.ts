import type { Clock, Milliseconds, Timer } from "@arbutusdoor/common";

/** The patience of one caller, or of one attempt on its behalf: aborts its signal at the deadline. */
export class CallerWait {
    private readonly controller = new AbortController();
    private readonly timer: Timer;
    private readonly outer: AbortSignal | undefined;
    private readonly abort = (): void => this.controller.abort();

    /** @param outer a signal that ends this wait too */
    constructor(clock: Clock, deadlineAt: Milliseconds, outer?: AbortSignal) {
        this.timer = clock.schedule(deadlineAt - clock.now(), this.abort);
        this.outer = outer;
        outer?.addEventListener("abort", this.abort, { once: true });
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    end(): void {
        this.timer.cancel();
        this.outer?.removeEventListener("abort", this.abort);
    }
}
