import type { ClassId, Clock, Metrics, ServerId } from "@arbutusdoor/common";
import { ServerQueue, type ServerQueueSettings } from "@arbutusdoor/policy";
import type { LoadBook } from "../balance/loadBook.js";
import type { Answer } from "./answer.js";
import { Deferred } from "./deferred.js";
import type { ServerSender } from "./serverSender.js";
import type { ServingPort } from "./servingPort.js";
import type { ServingRequest } from "./servingRequest.js";

/** The queue of a server with the number of slots it was made for. */
type Gate = {
    readonly queue: ServerQueue;
    slots: number;
};

/** The one place of this host from which requests go to the servers that it is a grantor of: a queue for each. */
export class ServerGate {
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    private readonly serving: ServingPort;
    private readonly sender: ServerSender;
    private readonly queueSettings: ServerQueueSettings;
    private readonly book: LoadBook;
    private readonly gates = new Map<ServerId, Gate>();

    constructor(
        clock: Clock,
        metrics: Metrics,
        serving: ServingPort,
        sender: ServerSender,
        queueSettings: ServerQueueSettings,
        book: LoadBook,
    ) {
        this.clock = clock;
        this.metrics = metrics;
        this.serving = serving;
        this.sender = sender;
        this.queueSettings = queueSettings;
        this.book = book;
    }

    /**
     * Queues a request for its server and sends it once a slot is free and this host still may. Never rejects.
     * @param slots requests that the server runs at a time
     */
    async serve(request: ServingRequest, slots: number): Promise<Answer> {
        const refusal = this.getRefusal(request);
        if (refusal) {
            return refusal;
        }
        const head = new Deferred<Answer>();
        const { requestClass } = request;
        const submission = this.getQueue(request, slots).submit({
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

    /** Forgets the queues of servers that are no longer declared; what waits in them still ends. */
    retain(servers: ReadonlySet<ServerId>): void {
        for (const [server, { queue }] of this.gates) {
            if (!servers.has(server) && queue.runningSize + queue.waitingSize === 0) {
                this.gates.delete(server);
            }
        }
    }

    /** Resolves once no request waits or runs at any server. */
    async drain(): Promise<void> {
        await Promise.all([...this.gates.values()].map(gate => gate.queue.drain()));
    }

    private async run(request: ServingRequest, head: Deferred<Answer>): Promise<void> {
        const refusal = this.getRefusal(request);
        if (refusal) {
            head.resolve(refusal);
            return;
        }
        const end = request.slice && this.serving.beginRequest(request.server, request.slice);
        const beganAt = this.clock.now();
        const { answer, ended } = await this.sender.send(request);
        head.resolve(answer);
        await ended;
        end?.();
        if (request.slice && request.key !== undefined) {
            const { service, slice } = request.slice;
            this.book.record(service, slice, request.key, this.clock.now() - beganAt);
        }
    }

    private getRefusal(request: ServingRequest): Answer | undefined {
        const refusal = request.slice && this.serving.mayServe(request.server, request.slice);
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
        const queue = new ServerQueue(this.clock, this.metrics, slots, this.queueSettings, labels);
        const gate = { queue, slots };
        this.gates.set(request.server, gate);
        return gate;
    }
}
