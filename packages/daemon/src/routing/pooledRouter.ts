import type { ClassId, Clock, Metrics, RandomSource } from "@arbutusdoor/common";
import {
    createPoolPicker,
    getHostLimit,
    type PoolPickerSettings,
    ServerQueue,
    type ServerQueueSettings,
    type StallMeter,
} from "@arbutusdoor/policy";
import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";
import { Deferred } from "../serving/deferred.js";
import type { ServerSender } from "../serving/serverSender.js";
import { listPoolServers } from "./listPoolServers.js";
import { PoolDispatcher } from "./poolDispatcher.js";
import type { PoolView } from "./poolView.js";
import { RequestRouter } from "./requestRouter.js";
import type { RetryRules } from "./retryRules.js";

/** What the router of pooled services works with. */
type PooledRouterParts = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly random: RandomSource;
    readonly sender: ServerSender;
    readonly retryRules: RetryRules;
    readonly view: PoolView;
    readonly pickerSettings: PoolPickerSettings;
    readonly queueSettings: ServerQueueSettings;
    readonly stalls: StallMeter;
};

/** The line of one pooled service on this host, and the gate behind it. */
type Pool = {
    readonly queue: ServerQueue;
    readonly gate: PoolDispatcher;
};

/**
 * Routes a request of a pooled service straight to a server, chosen from what this host saw of the servers itself.
 * What the servers cannot take at once waits here, by priority.
 */
export class PooledRouter extends RequestRouter {
    private readonly parts: PooledRouterParts;
    private readonly pools = new Map<string, Pool>();

    constructor(parts: PooledRouterParts) {
        super();
        this.parts = parts;
    }

    override async route(request: CallerRequest): Promise<Answer> {
        this.parts.retryRules.begin(request);
        const pool = this.getPool(request);
        pool.queue.setSlots(this.countSlots(request.service.name));
        const head = new Deferred<Answer>();
        const { requestClass } = request;
        const submission = pool.queue.submit({
            id: request.id,
            classId: requestClass.name as ClassId,
            priority: requestClass.priority,
            isIdempotent: requestClass.isIdempotent,
            deadlineAt: request.deadlineAt,
            signal: request.signal,
            run: () => this.run(pool.gate, request, head),
        });
        void submission.then(result => {
            if (result.kind === "refusal") {
                head.resolve(result);
            }
        });
        return head.promise;
    }

    /** Forgets the lines of services that are no longer declared; what waits in them still ends. */
    retain(services: ReadonlySet<string>): void {
        for (const [service, { queue }] of this.pools) {
            if (!services.has(service) && queue.runningSize + queue.waitingSize === 0) {
                this.pools.delete(service);
            }
        }
    }

    /** Holds the slot until the answer's body has ended. */
    private async run(gate: PoolDispatcher, request: CallerRequest, head: Deferred<Answer>): Promise<void> {
        const { answer, ended } = await gate.attempt(request);
        head.resolve(answer);
        await ended;
    }

    /** Requests that this host may have at the service's servers together; one at least, so that a refusal has its reason. */
    private countSlots(service: string): number {
        const { view } = this.parts;
        const { hosts, position } = view.getShare();
        const limits = listPoolServers(view, service).map(server => getHostLimit(server, hosts, position));
        return Math.max(1, limits.reduce((sum, limit) => sum + limit, 0));
    }

    private getPool(request: CallerRequest): Pool {
        const { name } = request.service;
        const pool = this.pools.get(name) ?? this.newPool(request);
        this.pools.set(name, pool);
        return pool;
    }

    private newPool({ service, tenant }: CallerRequest): Pool {
        const { clock, metrics, pickerSettings, queueSettings, random, retryRules, sender, stalls, view } =
            this.parts;
        const picker = createPoolPicker(pickerSettings, random);
        const labels = { tenant, service: service.name };
        return {
            queue: new ServerQueue({ clock, metrics, slots: 1, settings: queueSettings, stalls, labels }),
            gate: new PoolDispatcher({ clock, picker, sender, retryRules, view }),
        };
    }
}
