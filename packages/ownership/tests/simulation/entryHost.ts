import type { ManualClock } from "@arbutusdoor/common";
import {
    createHostState,
    dispatch,
    type Effect,
    type HostIdentity,
    type HostState,
    type Input,
} from "@arbutusdoor/ownership";
import type { OwnershipSettings } from "@arbutusdoor/ownership";
import type { StepFault } from "./stepFault.js";

const TICK_MS = 20;

/** Simulated entry host: drives the real kernel on its own clock, and can be paused, killed and restarted. */
export class EntryHost {
    condition: "running" | "paused" | "dead" = "running";
    state: HostState;
    incarnationNumber = 1;
    fault: StepFault | undefined;
    /** While true, orders are held in the host's send buffers. */
    holdsOrders = false;
    readonly events: { readonly time: number; readonly text: string; }[] = [];
    private queue: (() => void)[] = [];
    private heldOrders: Effect[] = [];

    constructor(
        readonly name: string,
        readonly dataCentre: string,
        private readonly clock: ManualClock,
        private readonly rate: number,
        private readonly settings: OwnershipSettings,
        private readonly perform: (host: EntryHost, effect: Effect) => void,
    ) {
        this.state = createHostState(this.getIdentity(), settings);
        this.tick(1);
    }

    getIdentity(): HostIdentity {
        return {
            host: this.name,
            incarnation: `${this.name}#${this.incarnationNumber}`,
            dataCentre: this.dataCentre,
            address: "10.0.0.1:1",
        } as HostIdentity;
    }

    now(): number {
        return this.clock.now() * this.rate + this.name.length * 1000;
    }

    /** Runs an action of one incarnation of the process: at once, after a pause, or never. */
    execute(incarnationNumber: number, action: () => void): void {
        if (incarnationNumber !== this.incarnationNumber || this.condition === "dead") {
            return;
        }
        if (this.condition === "paused") {
            this.queue.push(action);
            return;
        }
        action();
    }

    handle(input: Input): void {
        const step = dispatch(this.state, input, this.now());
        const taken = { before: this.state, input, after: step, now: this.now() };
        const { state, effects } = this.fault?.(taken) ?? step;
        this.state = state;
        effects.forEach(effect => this.obey(effect));
    }

    pause(): void {
        this.condition = "paused";
    }

    resume(): void {
        if (this.condition !== "paused") {
            return;
        }
        this.condition = "running";
        this.flushOrders();
        const incarnationNumber = this.incarnationNumber;
        this.queue.splice(0).forEach(action => this.execute(incarnationNumber, action));
    }

    /** Sends the orders held in the buffers. */
    flushOrders(): void {
        this.holdsOrders = false;
        this.heldOrders.splice(0).forEach(effect => this.perform(this, effect));
    }

    kill(): void {
        this.condition = "dead";
        this.queue = [];
        this.heldOrders = [];
    }

    restart(): void {
        this.incarnationNumber++;
        this.condition = "running";
        this.state = createHostState(this.getIdentity(), this.settings);
        this.tick(this.incarnationNumber);
    }

    private obey(effect: Effect): void {
        if (effect.kind === "log") {
            const text = `${effect.event} ${JSON.stringify(effect.fields)}`;
            this.events.push({ time: this.clock.now(), text });
        }
        else if (effect.kind === "sendOrder" && this.holdsOrders) {
            this.heldOrders.push(effect);
        }
        else {
            this.perform(this, effect);
        }
    }

    private tick(incarnationNumber: number): void {
        this.clock.schedule(TICK_MS, () => {
            if (incarnationNumber !== this.incarnationNumber || this.condition === "dead") {
                return;
            }
            if (this.condition === "running") {
                this.handle({ kind: "tick" });
            }
            this.tick(incarnationNumber);
        });
    }
}
