import type { ClassId, Clock, Metrics, RandomSource, ShutdownSchedule } from "@arbutusdoor/common";
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

/** Dependencies of the router. */
type PooledRouterDependencies = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly random: RandomSource;
    readonly sender: ServerSender;
    readonly retryRules: RetryRules;
    readonly view: PoolView;
    readonly pickerSettings: PoolPickerSettings;
    readonly queueSettings: ServerQueueSettings;
    readonly stalls: StallMeter;
    readonly shutdown: ShutdownSchedule;
};

/** This host's queue of one pooled service, and the dispatcher that sends what leaves the queue. */
type Pool = {
    readonly queue: ServerQueue;
    readonly dispatcher: PoolDispatcher;
};

/**
 * Routes a request of a pooled service directly to a server, selected by this host's own observations of the servers.
 * Requests that the servers cannot take immediately wait in a queue, by priority.
 */
export class PooledRouter extends RequestRouter {
    private readonly dependencies: PooledRouterDependencies;
    private readonly pools = new Map<string, Pool>();

    constructor(dependencies: PooledRouterDependencies) {
        super();
        this.dependencies = dependencies;
    }

    override async route(request: CallerRequest): Promise<Answer> {
        this.dependencies.retryRules.begin(request);
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
            run: () => this.run(pool.dispatcher, request, head),
        });
        void submission.then(result => {
            if (result.kind === "refusal") {
                head.resolve(result);
            }
        });
        return head.promise;
    }

    /** Removes the idle queues of services that are no longer declared; queues with requests stay until a later call. */
    retain(services: ReadonlySet<string>): void {
        for (const [service, { queue }] of this.pools) {
            if (!services.has(service) && queue.runningSize + queue.waitingSize === 0) {
                this.pools.delete(service);
            }
        }
    }

    /** Occupies the slot until the answer's body has ended. */
    private async run(
        dispatcher: PoolDispatcher,
        request: CallerRequest,
        head: Deferred<Answer>,
    ): Promise<void> {
        const { answer, ended } = await dispatcher.attempt(request);
        head.resolve(answer);
        await ended;
    }

    /**
     * Returns how many requests this host may have under way at the service's servers together; at least one, so that a
     * request reaches the dispatcher, which refuses it with the specific reason.
     */
    private countSlots(service: string): number {
        const { view } = this.dependencies;
        const { hosts, position } = view.getShare();
        const limits = listPoolServers(view, service).map(server => getHostLimit(server, hosts, position));
        return Math.max(1, limits.reduce((sum, limit) => sum + limit, 0));
    }

    private getPool(request: CallerRequest): Pool {
        const { name } = request.service;
        const pool = this.pools.get(name) ?? this.createPool(request);
        this.pools.set(name, pool);
        return pool;
    }

    private createPool({ service, tenant }: CallerRequest): Pool {
        const {
            clock,
            metrics,
            pickerSettings,
            queueSettings,
            random,
            retryRules,
            sender,
            shutdown,
            stalls,
            view,
        } = this.dependencies;
        const picker = createPoolPicker(pickerSettings, random);
        const labels = { tenant, service: service.name };
        return {
            queue: new ServerQueue({ clock, metrics, slots: 1, settings: queueSettings, stalls, labels }),
            dispatcher: new PoolDispatcher({ clock, picker, sender, retryRules, shutdown, view }),
        };
    }
}
