import type {
    Clock,
    Metrics,
    Milliseconds,
    ServerId,
    ServerIncarnation,
    ServiceId,
} from "@arbutusdoor/common";
import type { Declaration, Service } from "@arbutusdoor/configuration";
import type { HostState } from "@arbutusdoor/ownership";
import { type Move, type MoveHistory, type MovePlanSettings, planMoves } from "@arbutusdoor/policy";
import type { OwnershipDriver } from "../ownership/ownershipDriver.js";
import type { BalanceSettings } from "./balanceSettings.js";
import { createMovePlanInput } from "./createMovePlanInput.js";
import type { LoadTracker } from "./loadTracker.js";

const MINUTE_MS = 60_000;

/** Dependencies of the balancer. */
type BalancerParts = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly ownership: OwnershipDriver;
    readonly loadTracker: LoadTracker;
    readonly settings: BalanceSettings;
    readonly planSettings: MovePlanSettings;
};

/** Requests moves and splits of slices that balance load, while this host is the coordinator of its data centre. */
export class Balancer {
    private readonly parts: BalancerParts;
    private readonly histories = new Map<ServiceId, MoveHistory>();
    private readonly runs = new Map<
        ServerId,
        { readonly incarnation: ServerIncarnation; readonly at: Milliseconds; }
    >();

    constructor(parts: BalancerParts) {
        this.parts = parts;
    }

    /** Plans moves for every keyed service and requests them; plans nothing on a host that is not the coordinator. */
    plan(declaration: Declaration): void {
        const { state } = this.parts.ownership;
        this.noteRuns(state);
        if (!state.coordinator.isHeld) {
            return;
        }
        for (const service of declaration.services.filter(({ kind }) => kind === "keyed")) {
            this.planService(state, declaration, service);
        }
    }

    private planService(state: HostState, declaration: Declaration, service: Service): void {
        const { loadTracker: book, clock, planSettings } = this.parts;
        const serviceId = service.name as ServiceId;
        const history = this.histories.get(serviceId) ?? [];
        const moves = planMoves(createMovePlanInput(state, declaration, service, {
            loads: book.getLoad(serviceId),
            history,
            joinedAt: new Map([...this.runs].map(([server, { at }]) => [server, at])),
            settings: planSettings,
            now: clock.now(),
        }));
        const wanted = moves.filter(move => move.kind === "split" || move.reason === "balance");
        wanted.forEach(move => this.ask(serviceId, move));
        this.remember(service, history, wanted);
    }

    private ask(service: ServiceId, move: Move): void {
        const { metrics, ownership } = this.parts;
        metrics.count("arbutusdoor_balance_changes_total", { service, kind: move.kind });
        if (move.kind === "move") {
            ownership.dispatch({ kind: "moveWanted", service, slice: move.slice, to: move.to });
        }
        else {
            ownership.dispatch({ kind: "splitWanted", service, slice: move.slice, key: move.key });
        }
    }

    private remember(service: Service, history: MoveHistory, moves: readonly Move[]): void {
        const now = this.parts.clock.now();
        const kept = Math.max(MINUTE_MS, service.objective.restMs);
        const recent = history.filter(({ at }) => now - at < kept);
        const added = moves.map(({ slice }) => ({ slice, at: now }));
        const all = [...recent, ...added].slice(-this.parts.settings.maxHistory);
        this.histories.set(service.name as ServiceId, all);
    }

    /**
     * Records when the current incarnation of each server was first seen, so that a new one is filled slowly. Those seen
     * by the first call count as long known.
     */
    private noteRuns(state: HostState): void {
        const isFirstLook = this.runs.size === 0;
        const at = isFirstLook ? -Infinity : this.parts.clock.now();
        for (const { value } of Object.values(state.servers)) {
            if (this.runs.get(value.server)?.incarnation !== value.incarnation) {
                this.runs.set(value.server, { incarnation: value.incarnation, at });
            }
        }
        for (const server of [...this.runs.keys()].filter(name => !(name in state.servers))) {
            this.runs.delete(server);
        }
    }
}
