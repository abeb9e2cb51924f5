import type { ClassId, Clock, Metrics, ServerId } from "@arbutusdoor/common";
import { ServerQueue, type ServerQueueSettings, type StallMeter } from "@arbutusdoor/policy";
import type { LoadTracker } from "../balance/loadTracker.js";
import type { Answer } from "./answer.js";
import { Deferred } from "./deferred.js";
import type { ServerSender } from "./serverSender.js";
import type { ServingPort } from "./servingPort.js";
import type { ServingRequest } from "./servingRequest.js";

/** The queue of a server with its current number of slots. */
type Gate = {
    readonly queue: ServerQueue;
    slots: number;
};

/** Dependencies of the dispatcher. */
type ServerGateParts = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly serving: ServingPort;
    readonly sender: ServerSender;
    readonly queueSettings: ServerQueueSettings;
    readonly stalls: StallMeter;
    readonly loadTracker: LoadTracker;
    /** Requests beyond a server's slots that may be in transit to it. */
    readonly requestsOverSlots: number;
};

/** Queues and sends all requests of this host to the servers that it is a grantor of, with one queue for each server. */
export class ServerDispatcher {
    private readonly parts: ServerGateParts;
    private readonly gates = new Map<ServerId, Gate>();

    constructor(parts: ServerGateParts) {
        this.parts = parts;
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
        const submission = this.getQueue(request, slots + this.parts.requestsOverSlots).submit({
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
        for (const [server, { queue }] of this.gates) {
            if (!servers.has(server) && queue.runningSize + queue.waitingSize === 0) {
                this.gates.delete(server);
            }
        }
    }

    /** Resolves once no request is waiting or running at any server. */
    async drain(): Promise<void> {
        await Promise.all([...this.gates.values()].map(gate => gate.queue.drain()));
    }

    private async run(request: ServingRequest, head: Deferred<Answer>): Promise<void> {
        const refusal = this.getRefusal(request);
        if (refusal) {
            head.resolve(refusal);
            return;
        }
        const end = request.slice && this.parts.serving.beginRequest(request.server, request.slice);
        const beganAt = this.parts.clock.now();
        const { answer, ended } = await this.parts.sender.send(request);
        head.resolve(answer);
        await ended;
        end?.();
        if (request.slice && request.key !== undefined) {
            const { service, slice } = request.slice;
            this.parts.loadTracker.record(service, slice, request.key, this.parts.clock.now() - beganAt);
        }
    }

    private getRefusal(request: ServingRequest): Answer | undefined {
        const refusal = request.slice && this.parts.serving.mayServe(request.server, request.slice);
        return refusal && { kind: "refusal", refusal };
    }

    private getQueue(request: ServingRequest, slots: number): ServerQueue {
        const gate = this.gates.get(request.server) ?? this.newGate(request, slots);
        if (gate.slots !== slots) {
            gate.slots = slots;
            gate.queue.setSlots(slots);
        }
        return gate.queue;
    }

    private newGate(request: ServingRequest, slots: number): Gate {
        const labels = { tenant: request.tenant, service: request.service };
        const { clock, metrics, queueSettings: settings, stalls } = this.parts;
        const queue = new ServerQueue({ clock, metrics, slots, settings, stalls, labels });
        const gate = { queue, slots };
        this.gates.set(request.server, gate);
        return gate;
    }
}
