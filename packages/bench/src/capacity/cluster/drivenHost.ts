import type { Order, OrderOutcome } from "@arbutusdoor/clients";
import { ManualClock } from "@arbutusdoor/common";
import type { ServerId } from "@arbutusdoor/common";
import {
    createHostState,
    dispatch,
    type Effect,
    type HostState,
    type Input,
    OwnershipSettings,
} from "@arbutusdoor/ownership";
import { Packr } from "msgpackr";
import { wallClock } from "../../wallClock.js";
import type { ClusterSize } from "./clusterSize.js";
import { MemoryRows } from "./memoryRows.js";
import { newClusterDeclaration } from "./newClusterDeclaration.js";
import { newClusterRows } from "./newClusterRows.js";
import { newPeerIdentity } from "./newPeerIdentity.js";
import { Traffic } from "./traffic.js";

const TICK_MS = 20;
const MICROSECONDS_PER_MS = 1_000;
const ANSWER_MS = 1;
const packr = new Packr({ useRecords: false });

/**
 * One entry host's real ownership kernel on a manual clock; servers answer every order and the table every call.
 * The time of each decision is taken.
 */
export class DrivenHost {
    readonly clock = new ManualClock(1_000);
    readonly rows: MemoryRows;
    /** Servers that answer nothing. */
    readonly lost = new Set<ServerId>();
    traffic = new Traffic();
    state: HostState;
    /** Takes each effect after it was counted. */
    onEffect: (effect: Effect) => void = () => {};
    private readonly held = new Map<ServerId, Set<string>>();

    /** @param isDecider whether this host may claim the decider row; if not, another host says that it decides */
    constructor(size: ClusterSize, private readonly isDecider: boolean) {
        const declaration = newClusterDeclaration(size.servers, size.slices);
        this.rows = new MemoryRows(newClusterRows(declaration, size));
        this.state = createHostState(newPeerIdentity(0), OwnershipSettings.parse({}));
        this.take({ kind: "configurationChanged", version: 1, declaration });
        for (let peer = 1; peer <= size.peers; peer++) {
            this.take({ kind: "peerUp", identity: newPeerIdentity(peer) });
        }
        this.tick();
        this.beat();
    }

    /** Lets time pass, and counts what is decided from then on anew. */
    measure(duration: number): Traffic {
        this.traffic = new Traffic();
        this.clock.advance(duration);
        return this.traffic;
    }

    /** Hands the kernel one input. */
    take(input: Input): void {
        const beganAt = wallClock.now();
        const step = dispatch(this.state, input, this.clock.now());
        this.traffic.noteTime(input.kind, (wallClock.now() - beganAt) * MICROSECONDS_PER_MS);
        this.state = step.state;
        step.effects.forEach(effect => this.perform(effect));
    }

    private tick(): void {
        this.take({ kind: "tick" });
        this.clock.schedule(TICK_MS, () => this.tick());
    }

    private beat(): void {
        if (this.isDecider) {
            return;
        }
        const dataCentre = this.state.self.dataCentre;
        this.take({
            kind: "peerMessage",
            from: newPeerIdentity(1),
            message: { kind: "deciderHere", dataCentre, term: 1 },
        });
        this.clock.schedule(this.state.settings.beatIntervalMs, () => this.beat());
    }

    private perform(effect: Effect): void {
        const { traffic, clock } = this;
        const answer = (input: () => Input) => clock.schedule(ANSWER_MS, () => this.take(input()));
        switch (effect.kind) {
            case "sendPeer":
                traffic.messages++;
                traffic.messageBytes += packr.pack(effect.message).length;
                break;
            case "sendOrder": {
                const { order } = effect;
                const sentAt = clock.now();
                traffic.orders++;
                traffic.orderBytes += JSON.stringify(order).length;
                answer(() => ({ kind: "orderReply", order, sentAt, outcome: this.answerOrder(order) }));
                break;
            }
            case "transact": {
                const { transaction } = effect;
                const { operationId } = transaction;
                traffic.writes++;
                traffic.rowsWritten += transaction.writes.length;
                traffic.bytesWritten += JSON.stringify(transaction).length;
                answer(() => ({ kind: "tableDone", operationId, outcome: this.rows.transact(transaction) }));
                break;
            }
            case "readRows": {
                const rows = effect.keys ? this.rows.read(effect.keys) : this.rows.scan(effect.prefix ?? "");
                traffic.reads++;
                traffic.rowsRead += rows.length;
                traffic.bytesRead += JSON.stringify(rows).length;
                answer(() => ({ kind: "tableRead", tag: effect.tag, outcome: { kind: "rows", rows } }));
                break;
            }
            case "log":
        }
        this.onEffect(effect);
    }

    private answerOrder(order: Order): OrderOutcome {
        const row = this.state.servers[order.server]?.value;
        if (this.lost.has(order.server) || !row) {
            return { kind: "refused", reason: "lost" };
        }
        const held = this.held.get(order.server) ?? new Set();
        this.held.set(order.server, held);
        order.take.forEach(({ slice }) => held.add(slice));
        order.fence.forEach(({ slice }) => held.delete(slice));
        return {
            kind: "reply",
            reply: {
                server: order.server,
                incarnation: row.incarnation,
                clock: this.clock.now(),
                listVersion: order.listVersion,
                epoch: order.epoch,
                isAccepted: true,
                taken: order.take,
                fenced: order.fence,
                heldCount: held.size,
                isLeaving: false,
            },
        };
    }
}
