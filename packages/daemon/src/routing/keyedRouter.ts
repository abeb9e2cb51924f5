import type { Clock, Refusal, ServerId, ServiceId, ShutdownSchedule } from "@arbutusdoor/common";
import type { Route } from "@arbutusdoor/ownership";
import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";
import { refuse } from "../serving/refuse.js";
import { refuseStopping } from "../serving/refuseStopping.js";
import type { ServingPort } from "../serving/servingPort.js";
import { Attempts } from "./attempts.js";
import { GrantorSelector } from "./grantorSelector.js";
import type { OwnerWait } from "./ownerWait.js";
import type { RelayPort } from "./relayPort.js";
import { RequestRouter } from "./requestRouter.js";
import type { RetryRules } from "./retryRules.js";

type OpenRoute = Extract<Route, { kind: "route"; }>;

/**
 * Routes a request of a keyed service to a grantor of the server that owns the key, which is this host or a peer.
 * A request that provably did not run is retried while the owner of its key changes; the total wait is bounded.
 */
export class KeyedRouter extends RequestRouter {
    private readonly clock: Clock;
    private readonly serving: ServingPort;
    private readonly relay: RelayPort;
    private readonly ownerWait: OwnerWait;
    private readonly retryRules: RetryRules;
    private readonly shutdown: ShutdownSchedule;

    constructor(
        clock: Clock,
        serving: ServingPort,
        relay: RelayPort,
        ownerWait: OwnerWait,
        retryRules: RetryRules,
        shutdown: ShutdownSchedule,
    ) {
        super();
        this.clock = clock;
        this.serving = serving;
        this.relay = relay;
        this.ownerWait = ownerWait;
        this.retryRules = retryRules;
        this.shutdown = shutdown;
    }

    override async route(request: CallerRequest): Promise<Answer> {
        const beganAt = this.clock.now();
        const attempts = new Attempts();
        const selector = new GrantorSelector();
        this.retryRules.begin(request);
        for (;;) {
            const answer = await this.attempt(request, selector);
            if (answer.kind === "answered") {
                return answer;
            }
            const { refusal } = answer;
            attempts.recordRefusal(refusal);
            if (!this.shutdown.canServe(request.deadlineAt)) {
                return { kind: "refusal", refusal: attempts.getRefusal(refusal) };
            }
            if (await this.mayContinue(request, refusal, selector, beganAt)) {
                continue;
            }
            if (!this.retryRules.consumeRetry(request, refusal, attempts.count)) {
                return { kind: "refusal", refusal: attempts.getRefusal(refusal) };
            }
            attempts.countRetry();
        }
    }

    /** Whether the request, which did not run, may be sent again: to another grantor, or after waiting for an owner. */
    private async mayContinue(
        request: CallerRequest,
        refusal: Refusal,
        selector: GrantorSelector,
        beganAt: number,
    ): Promise<boolean> {
        if (refusal.outcome !== "notRun" || !request.body.canOpen() || request.signal.aborted) {
            return false;
        }
        if (selector.excludeLast(refusal.reason)) {
            return true;
        }
        selector.reset();
        return this.ownerWait.waitForOwner(refusal.reason, beganAt, request.deadlineAt);
    }

    private async attempt(request: CallerRequest, selector: GrantorSelector): Promise<Answer> {
        if (request.key === undefined) {
            return refuse("missingKey", "the path names no key");
        }
        if (this.clock.now() >= request.deadlineAt) {
            return refuse("deadlineBeforeStart", "the deadline passed before the key had a reachable owner");
        }
        if (!this.shutdown.canServe(request.deadlineAt)) {
            return refuseStopping();
        }
        const route = this.serving.getRoute(request.service.name, request.key);
        return route.kind === "refusal" ? route : this.send(request, route, selector);
    }

    private send(request: CallerRequest, route: OpenRoute, selector: GrantorSelector): Promise<Answer> {
        const slice = {
            service: request.service.name as ServiceId,
            slice: route.slice,
            generation: route.generation,
        };
        const grantor = selector.select(route);
        if (!grantor) {
            return Promise.resolve(refuse("ownerUnreachable", "no grantor of the server reaches it"));
        }
        return this.relay.forward(grantor, request, route.server as ServerId, slice);
    }
}
