import type { Clock, Milliseconds, Timer } from "@arbutusdoor/common";

/** The patience of one caller: aborts its signal at the deadline. */
export class CallerWait {
    private readonly controller = new AbortController();
    private readonly timer: Timer;

    constructor(clock: Clock, deadlineAt: Milliseconds) {
        this.timer = clock.schedule(deadlineAt - clock.now(), () => this.controller.abort());
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    end(): void {
        this.timer.cancel();
    }
}
