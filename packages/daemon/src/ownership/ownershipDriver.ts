import type { ServerOrders, SliceGeneration, TableService } from "@arbutusdoor/clients";
import {
    type Clock,
    type Logger,
    type Metrics,
    type Milliseconds,
    type Refusal,
    type ServerId,
    type Timer,
} from "@arbutusdoor/common";
import type { ServiceId } from "@arbutusdoor/common";
import {
    dispatch,
    type Effect,
    getRoute,
    type HostState,
    type Input,
    mayServe,
    type OwnershipMessage,
    type Route,
} from "@arbutusdoor/ownership";
import type { Peers } from "../peers/peers.js";
import { ServingPort } from "../serving/servingPort.js";
import { ChangeSignal } from "./changeSignal.js";

const TICK_MS = 20;
const TOPIC = "ownership";
const MICROSECONDS_PER_MS = 1_000;

/** Dependencies with which the driver carries out the kernel's effects. */
type OwnershipDriverDependencies = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly table: TableService;
    readonly orders: ServerOrders;
    readonly peers: Peers;
};

/** Runs the ownership kernel: passes inputs to it, carries out its effects, and answers queries of the data path. */
export class OwnershipDriver extends ServingPort {
    private readonly dependencies: OwnershipDriverDependencies;
    private readonly changes: ChangeSignal;
    private current: HostState;
    private timer: Timer | undefined;
    private isStopped = false;

    constructor(state: HostState, dependencies: OwnershipDriverDependencies) {
        super();
        this.current = state;
        this.dependencies = dependencies;
        this.changes = new ChangeSignal(dependencies.clock);
    }

    /** Current state of the kernel, read-only. */
    get state(): HostState {
        return this.current;
    }

    /** Starts to tick and to listen to peers. */
    start(): void {
        const { peers } = this.dependencies;
        peers.onTopic(
            TOPIC,
            (from, message) =>
                this.dispatch({ kind: "peerMessage", from, message: message as OwnershipMessage }),
        );
        peers.listen({
            onUp: identity => this.dispatch({ kind: "peerUp", identity }),
            onDown: identity => this.dispatch({ kind: "peerDown", identity }),
        });
        peers.list().forEach(identity => this.dispatch({ kind: "peerUp", identity }));
        this.tick();
    }

    /** Stops ticking; later inputs are ignored. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    /** Passes one input to the kernel and starts the resulting effects. */
    dispatch(input: Input): void {
        if (this.isStopped) {
            return;
        }
        const before = this.current;
        const step = dispatch(before, input, this.dependencies.clock.now());
        this.current = step.state;
        step.effects.forEach(effect => this.run(effect));
        const hasChanged = before.slices !== step.state.slices || before.servers !== step.state.servers
            || before.grants !== step.state.grants || before.peers !== step.state.peers;
        if (hasChanged) {
            this.changes.notify();
        }
    }

    override getRoute(service: string, key: string): Route {
        return getRoute(this.current, service as ServiceId, key);
    }

    override mayServe(
        server: ServerId,
        { service, slice, generation }: SliceGeneration,
    ): Refusal | undefined {
        return mayServe(this.current, server, service, slice, generation, this.dependencies.clock.now());
    }

    override beginRequest(server: ServerId, { service, slice }: SliceGeneration): () => void {
        this.dispatch({ kind: "requestStarted", server, service, slice });
        return () => this.dispatch({ kind: "requestEnded", server, service, slice });
    }

    override waitForChange(timeout: Milliseconds): Promise<void> {
        return this.changes.wait(timeout);
    }

    private tick(): void {
        if (this.isStopped) {
            return;
        }
        const beganAt = this.dependencies.clock.now();
        this.dispatch({ kind: "tick" });
        const duration = (this.dependencies.clock.now() - beganAt) * MICROSECONDS_PER_MS;
        this.dependencies.metrics.record("arbutusdoor_ownership_tick_us", {}, duration);
        this.timer = this.dependencies.clock.schedule(TICK_MS, () => this.tick());
    }

    private run(effect: Effect): void {
        const { clock, logger, metrics, orders, peers, table } = this.dependencies;
        metrics.count("arbutusdoor_ownership_effects_total", { kind: effect.kind });
        switch (effect.kind) {
            case "sendPeer":
                peers.send(effect.to, TOPIC, effect.message);
                return;
            case "sendOrder": {
                const sentAt = clock.now();
                const { address, order, timeout } = effect;
                void orders.send(address, order, timeout)
                    .then(outcome => this.dispatch({ kind: "orderReply", order, sentAt, outcome }));
                return;
            }
            case "transact": {
                const { operationId } = effect.transaction;
                void table.transact(effect.transaction)
                    .then(outcome => this.dispatch({ kind: "tableDone", operationId, outcome }));
                return;
            }
            case "readRows": {
                const reading = effect.keys ? table.read(effect.keys) : table.scan(effect.prefix ?? "");
                void reading.then(outcome => this.dispatch({ kind: "tableRead", tag: effect.tag, outcome }));
                return;
            }
            case "log":
                logger.log(effect.event, effect.fields);
        }
    }
}
