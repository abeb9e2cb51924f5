import type { ClassId, Clock, Metrics, ServerId, ShutdownSchedule } from "@arbutusdoor/common";
import { ServerQueue, type ServerQueueSettings, type StallMeter } from "@arbutusdoor/policy";
import type { LoadTracker } from "../balance/loadTracker.js";
import type { Answer } from "./answer.js";
import { Deferred } from "./deferred.js";
import { refuseStopping } from "./refuseStopping.js";
import type { ServerSender } from "./serverSender.js";
import type { ServingPort } from "./servingPort.js";
import type { ServingRequest } from "./servingRequest.js";

/** The queue of a server with its current number of slots. */
type SlotQueue = {
    readonly queue: ServerQueue;
    slots: number;
};

/** Dependencies of the dispatcher. */
type ServerDispatcherDependencies = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly serving: ServingPort;
    readonly sender: ServerSender;
    readonly queueSettings: ServerQueueSettings;
    readonly stalls: StallMeter;
    readonly loadTracker: LoadTracker;
    readonly shutdown: ShutdownSchedule;
    /** Requests beyond a server's slots that may be in transit to it. */
    readonly requestsOverSlots: number;
};

/** Queues and sends all requests of this host to the servers that it is a grantor of, with one queue for each server. */
export class ServerDispatcher {
    private readonly dependencies: ServerDispatcherDependencies;
    private readonly queues = new Map<ServerId, SlotQueue>();

    constructor(dependencies: ServerDispatcherDependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Queues a request for its server and sends it once a slot is free, if this host may still serve it. Never rejects.
     * @param slots requests that the server runs at a time
     */
    async serve(request: ServingRequest, slots: number): Promise<Answer> {
        const refusal = this.getRefusal(request);
        if (refusal) {
            return refusal;
        }
        const head = new Deferred<Answer>();
        const { requestClass } = request;
        const submission = this.getQueue(request, slots + this.dependencies.requestsOverSlots).submit({
            id: request.id,
            classId: requestClass.name as ClassId,
            priority: requestClass.priority,
            deadlineAt: request.deadlineAt,
            isIdempotent: requestClass.isIdempotent,
            signal: request.signal,
            run: () => this.run(request, head),
        });
        void submission.then(result => {
            if (result.kind === "refusal") {
                head.resolve(result);
            }
        });
        return head.promise;
    }

    /** Removes the idle queues of servers that are no longer declared; queues with requests stay until a later call. */
    retain(servers: ReadonlySet<ServerId>): void {
        for (const [server, { queue }] of this.queues) {
            if (!servers.has(server) && queue.runningSize + queue.waitingSize === 0) {
                this.queues.delete(server);
            }
        }
    }

    /** Resolves once no request is waiting or running at any server. */
    async drain(): Promise<void> {
        await Promise.all([...this.queues.values()].map(slotQueue => slotQueue.queue.drain()));
    }

    private async run(request: ServingRequest, head: Deferred<Answer>): Promise<void> {
        const refusal = this.getRefusal(request);
        if (refusal) {
            head.resolve(refusal);
            return;
        }
        const endRequest = request.slice
            && this.dependencies.serving.beginRequest(request.server, request.slice);
        const beganAt = this.dependencies.clock.now();
        const { answer, ended } = await this.dependencies.sender.send(request);
        head.resolve(answer);
        await ended;
        endRequest?.();
        if (request.slice && request.key !== undefined) {
            const { service, slice } = request.slice;
            this.dependencies.loadTracker.record(
                service,
                slice,
                request.key,
                this.dependencies.clock.now() - beganAt,
            );
        }
    }

    private getRefusal(request: ServingRequest): Answer | undefined {
        if (!this.dependencies.shutdown.canServe(request.deadlineAt)) {
            return refuseStopping();
        }
        const refusal = request.slice && this.dependencies.serving.mayServe(request.server, request.slice);
        return refusal && { kind: "refusal", refusal };
    }

    private getQueue(request: ServingRequest, slots: number): ServerQueue {
        const slotQueue = this.queues.get(request.server) ?? this.createQueue(request, slots);
        if (slotQueue.slots !== slots) {
            slotQueue.slots = slots;
            slotQueue.queue.setSlots(slots);
        }
        return slotQueue.queue;
    }

    private createQueue(request: ServingRequest, slots: number): SlotQueue {
        const labels = { tenant: request.tenant, service: request.service };
        const { clock, metrics, queueSettings: settings, stalls } = this.dependencies;
        const queue = new ServerQueue({ clock, metrics, slots, settings, stalls, labels });
        const slotQueue = { queue, slots };
        this.queues.set(request.server, slotQueue);
        return slotQueue;
    }
}
