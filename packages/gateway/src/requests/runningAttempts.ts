import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { GatewayReply } from "./gatewayReply.js";

const SUPERSEDED = "another server has answered";

/** How an attempt ended: the reply to the caller, or `undefined` when it gave none. */
type AttemptEnd = GatewayReply | undefined;

/**
 * The attempts of one request that have not ended. One that takes long is not broken off, since its server may be about to answer: another
 * one is made beside it, and the first reply ends the others.
 */
export class RunningAttempts {
    private readonly clock: Clock;
    private readonly attempts = new Map<AbortController, Promise<AttemptEnd>>();
    private firstReply: GatewayReply | undefined;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** The first reply that an attempt gave, also one for which nobody waited. */
    get reply(): GatewayReply | undefined {
        return this.firstReply;
    }

    /** Number of attempts that have not ended. */
    get size(): number {
        return this.attempts.size;
    }

    /** Starts an attempt, which must not reject. It is to break off when its controller aborts. */
    start(run: (controller: AbortController) => Promise<AttemptEnd>): void {
        const controller = new AbortController();
        this.attempts.set(controller, this.follow(controller, run(controller)));
    }

    /** Waits until an attempt ends. Returns `overdue` when none has ended within a limit. */
    async wait(limit = Infinity): Promise<AttemptEnd | "overdue"> {
        if (this.firstReply) {
            return this.firstReply;
        }
        const ends = [...this.attempts.values()];
        if (limit === Infinity) {
            return await Promise.race(ends);
        }
        return await this.waitWithin(ends, limit);
    }

    /** Breaks off all attempts that have not ended. */
    cancel(): void {
        for (const controller of this.attempts.keys()) {
            controller.abort(new Error(SUPERSEDED));
        }
    }

    private async follow(controller: AbortController, run: Promise<AttemptEnd>): Promise<AttemptEnd> {
        const reply = await run;
        this.attempts.delete(controller);
        if (this.firstReply) {
            controller.abort(new Error(SUPERSEDED));
            return undefined;
        }
        this.firstReply = reply;
        return reply;
    }

    private async waitWithin(
        ends: readonly Promise<AttemptEnd>[],
        limit: Milliseconds,
    ): Promise<AttemptEnd | "overdue"> {
        let notifyOverdue: (end: "overdue") => void = () => undefined;
        const overdue = new Promise<"overdue">(resolve => {
            notifyOverdue = resolve;
        });
        const timer = this.clock.schedule(limit, () => notifyOverdue("overdue"));
        const end = await Promise.race([...ends, overdue]);
        timer.cancel();
        return end;
    }
}
