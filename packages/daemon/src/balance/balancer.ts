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
type BalancerDependencies = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly ownership: OwnershipDriver;
    readonly loadTracker: LoadTracker;
    readonly settings: BalanceSettings;
    readonly planSettings: MovePlanSettings;
};

/** Requests moves and splits of slices that balance load, while this host is the coordinator of its data centre. */
export class Balancer {
    private readonly dependencies: BalancerDependencies;
    private readonly histories = new Map<ServiceId, MoveHistory>();
    private readonly incarnations = new Map<
        ServerId,
        { readonly incarnation: ServerIncarnation; readonly at: Milliseconds; }
    >();

    constructor(dependencies: BalancerDependencies) {
        this.dependencies = dependencies;
    }

    /** Plans moves for every keyed service and requests them; plans nothing on a host that is not the coordinator. */
    plan(declaration: Declaration): void {
        const { state } = this.dependencies.ownership;
        this.recordIncarnations(state);
        if (!state.coordinator.isHeld) {
            return;
        }
        for (const service of declaration.services.filter(({ kind }) => kind === "keyed")) {
            this.planService(state, declaration, service);
        }
    }

    private planService(state: HostState, declaration: Declaration, service: Service): void {
        const { clock, loadTracker, planSettings } = this.dependencies;
        const serviceId = service.name as ServiceId;
        const history = this.histories.get(serviceId) ?? [];
        const moves = planMoves(createMovePlanInput(state, declaration, service, {
            loads: loadTracker.getLoad(serviceId),
            history,
            joinedAt: new Map([...this.incarnations].map(([server, { at }]) => [server, at])),
            settings: planSettings,
            now: clock.now(),
        }));
        const requested = moves.filter(move => move.kind === "split" || move.reason === "balance");
        requested.forEach(move => this.request(serviceId, move));
        this.recordMoves(service, history, requested);
    }

    private request(service: ServiceId, move: Move): void {
        const { metrics, ownership } = this.dependencies;
        metrics.count("arbutusdoor_balance_changes_total", { service, kind: move.kind });
        if (move.kind === "move") {
            ownership.dispatch({ kind: "moveWanted", service, slice: move.slice, to: move.to });
        }
        else {
            ownership.dispatch({ kind: "splitWanted", service, slice: move.slice, key: move.key });
        }
    }

    private recordMoves(service: Service, history: MoveHistory, moves: readonly Move[]): void {
        const now = this.dependencies.clock.now();
        const historyMs = Math.max(MINUTE_MS, service.objective.restMs);
        const recent = history.filter(({ at }) => now - at < historyMs);
        const added = moves.map(({ slice }) => ({ slice, at: now }));
        const all = [...recent, ...added].slice(-this.dependencies.settings.maxHistory);
        this.histories.set(service.name as ServiceId, all);
    }

    /**
     * Records when the current incarnation of each server was first seen, so that a new one is filled slowly. Those seen
     * by the first call count as long known.
     */
    private recordIncarnations(state: HostState): void {
        const isFirstCall = this.incarnations.size === 0;
        const at = isFirstCall ? -Infinity : this.dependencies.clock.now();
        for (const { value } of Object.values(state.servers)) {
            if (this.incarnations.get(value.server)?.incarnation !== value.incarnation) {
                this.incarnations.set(value.server, { incarnation: value.incarnation, at });
            }
        }
        for (const server of [...this.incarnations.keys()].filter(name => !(name in state.servers))) {
            this.incarnations.delete(server);
        }
    }
}
