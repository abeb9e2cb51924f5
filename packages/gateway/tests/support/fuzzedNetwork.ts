import type { Milliseconds, RandomSource } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import { getHolderName } from "../../src/ownership/getHolderName.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import type { OwnershipSettings } from "../../src/ownership/ownershipSettings.js";
import type { FaultModel } from "./faultModel.js";
import type { FaultProbabilities } from "./faultProbabilities.js";
import type { FuzzedRegistry } from "./fuzzedRegistry.js";
import { getPresetOutcome } from "./getPresetOutcome.js";
import type { InFlightOrder } from "./inFlightOrder.js";
import type { OrderSender } from "./orderSender.js";
import type { OwnershipChecker } from "./ownershipChecker.js";
import type { Partition } from "./partition.js";
import type { SimulatedServer } from "./simulatedServer.js";

const LATE_MS = 4_000;

/** Dependencies of a network. */
type NetworkParts = {
    readonly random: RandomSource;
    readonly probabilities: FaultProbabilities;
    readonly settings: OwnershipSettings;
    readonly model: FaultModel;
    readonly checker: OwnershipChecker;
    readonly partitions: ReadonlyMap<string, Partition>;
    readonly servers: ReadonlyMap<string, SimulatedServer>;
    readonly startedAt: ReadonlyMap<string, Milliseconds>;
    readonly registryLostAt: ReadonlyMap<OrderSender, Milliseconds>;
    /** The registry, in runs with entries of other writers. */
    readonly registry: FuzzedRegistry | undefined;
    /** Whether a sender is that of the newest coordinator. */
    readonly isNewest: (sender: OrderSender) => boolean;
};

/** Orders on their way to the servers of a random run: they are lost, carried out late, or held up by partitions. */
export class FuzzedNetwork {
    private readonly parts: NetworkParts;
    private inFlight: InFlightOrder[] = [];

    constructor(parts: NetworkParts) {
        this.parts = parts;
    }

    /** Sends an order, which may be lost or carried out late. */
    send(order: KeyOrder, sender: OrderSender, now: Milliseconds): void {
        const entry = this.parts.registry?.findEntry(order);
        const server = this.findAddressed(order, entry);
        if (!server) {
            sender.complete(order, { kind: "unknown", reason: "the server's address is not known" }, now);
            return;
        }
        const isLate = this.parts.random.nextFraction() < this.parts.probabilities.late;
        const arrivesAt = now + 2;
        const appliesAt = isLate ? arrivesAt + this.parts.random.nextInteger(LATE_MS) : arrivesAt;
        const isLost = isLate || this.parts.random.nextFraction() < this.parts.probabilities.lost;
        const isMistaken = this.happens(this.parts.probabilities[`${order.kind}Answer`]);
        const answersAt = now + (isLost && !isMistaken ? this.parts.settings.orderTimeoutMs : 4);
        const times = { sentAt: now, arrivesAt, appliesAt, answersAt };
        const outcome = getPresetOutcome(order, isMistaken, isLost);
        const state = { isArrived: false, isApplied: false, outcome };
        this.inFlight.push({ order, sender, entry, server, ...times, ...state });
    }

    /** Delivers the orders that have arrived, and the outcomes that are due. */
    deliver(now: Milliseconds): void {
        this.inFlight.forEach(sent => this.arrive(sent, now));
        for (const sent of this.inFlight) {
            if (!sent.isApplied && sent.isArrived && sent.appliesAt <= now) {
                sent.isApplied = true;
                const outcome = this.apply(sent, now);
                sent.outcome ??= outcome;
            }
        }
        const answered = this.inFlight.filter(({ answersAt, outcome }) => outcome && answersAt <= now);
        for (const sent of answered) {
            this.parts.registry?.recordOutcome(sent, sent.outcome!, now);
            sent.sender.complete(sent.order, sent.outcome!, now);
        }
        const done = new Set(answered.filter(({ isApplied }) => isApplied));
        const answeredOnly = new Set(answered);
        this.inFlight = this.inFlight.filter(sent => !done.has(sent)).map(sent =>
            answeredOnly.has(sent) ? { ...sent, answersAt: Infinity } : sent
        ).filter(({ answersAt, isApplied }) => !(isApplied && answersAt === Infinity));
    }

    /** Delivers an order to the server's address; while the server is partitioned, the order waits or is lost in the network. */
    private arrive(sent: InFlightOrder, now: Milliseconds): void {
        if (sent.isArrived || sent.arrivesAt > now) {
            return;
        }
        const { dropAfterMs, isAddressReused } = this.parts.model;
        const partition = this.findActive(sent, now);
        if (dropAfterMs > 0 && partition) {
            const answersAt = sent.sentAt + this.parts.settings.orderTimeoutMs;
            const delay = partition.until - sent.arrivesAt;
            sent.arrivesAt = partition.until;
            sent.appliesAt += delay;
            if (partition.until > answersAt) {
                sent.outcome ??= { kind: "unknown", reason: "given up" };
                sent.answersAt = answersAt;
            }
            sent.isApplied = partition.until > sent.sentAt + dropAfterMs;
            sent.isArrived = sent.isApplied;
            return;
        }
        sent.isArrived = true;
        const current = this.listUp().find(({ holder }) => holder.id === sent.server.holder.id)!;
        // A replaced coordinator opens no connection, and its connections to earlier incarnations have ended with these.
        const mayReach = this.parts.startedAt.get(current.name)!
            <= (this.parts.registryLostAt.get(sent.sender) ?? Infinity);
        if (isAddressReused && !sent.server.isUp && mayReach) {
            sent.server = current;
        }
    }

    private apply({ arrivesAt, sender, order, server }: InFlightOrder, now: Milliseconds): OrderOutcome {
        const isLost = this.parts.model.dropAfterMs === 0
            && this.findActive({ sender, server }, now) !== undefined;
        if (server.isUp && !isLost && server.holder.id !== order.holder.id) {
            return { kind: "otherServer" };
        }
        return server.isUp && !isLost
            ? this.parts.checker.applyOrder(server, order, this.parts.settings.holdMs, arrivesAt, now)
            : { kind: "unknown", reason: "unreachable" };
    }

    /** Returns the server that an order is sent to: with a registry the one that has the address, without one the incarnation itself. */
    private findAddressed(
        { holder }: KeyOrder,
        entry: RegisteredServer | undefined,
    ): SimulatedServer | undefined {
        return this.parts.registry
            ? this.listUp().find(server => server.holder.id === entry?.address)
            : this.parts.servers.get(getHolderName(holder));
    }

    private findActive(
        { sender, server }: Pick<InFlightOrder, "sender" | "server">,
        now: Milliseconds,
    ): Partition | undefined {
        const found = this.parts.partitions.get(server.name);
        const isNewest = this.parts.isNewest(sender);
        const isInForce = found && found.until > now && (!found.isOneSided || isNewest);
        return isInForce ? found : undefined;
    }

    private happens(probability: number | undefined): boolean {
        return probability !== undefined && this.parts.random.nextFraction() < probability;
    }

    private listUp(): readonly SimulatedServer[] {
        return [...this.parts.servers.values()].filter(({ isUp }) => isUp);
    }
}
