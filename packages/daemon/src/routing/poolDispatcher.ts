import type { Clock, ServerId, ShutdownSchedule } from "@arbutusdoor/common";
import type { Server } from "@arbutusdoor/configuration";
import { getHostLimit, type PoolCandidate, type PoolPicker } from "@arbutusdoor/policy";
import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";
import { refuse } from "../serving/refuse.js";
import { refuseStopping } from "../serving/refuseStopping.js";
import type { ServerSender } from "../serving/serverSender.js";
import { Attempts } from "./attempts.js";
import { listPoolServers } from "./listPoolServers.js";
import type { PoolView } from "./poolView.js";
import type { RetryRules } from "./retryRules.js";

const RECHECK_INTERVAL_MS = 5;

type Sending = Awaited<ReturnType<ServerSender["send"]>>;

/** Dependencies of the dispatcher. */
type PoolDispatcherDependencies = {
    readonly clock: Clock;
    readonly picker: PoolPicker;
    readonly sender: ServerSender;
    readonly retryRules: RetryRules;
    readonly shutdown: ShutdownSchedule;
    readonly view: PoolView;
};

/** Sends requests of one pooled service to the servers that its picker selects. */
export class PoolDispatcher {
    private readonly dependencies: PoolDispatcherDependencies;

    constructor(dependencies: PoolDispatcherDependencies) {
        this.dependencies = dependencies;
    }

    /** Attempts a request until it is answered or may not be retried. Never rejects. */
    async attempt(request: CallerRequest): Promise<Sending> {
        const attempts = new Attempts();
        const tried = new Set<ServerId>();
        for (;;) {
            const server = await this.waitForServer(request, tried);
            const sending = server
                ? await this.sendTo(server, request, this.mayFollow(server, request, attempts.count, tried))
                : this.refuseWithoutServer(request, tried);
            if (sending.answer.kind === "answered") {
                return sending;
            }
            const { refusal } = sending.answer;
            attempts.recordRefusal(refusal);
            if (!server || !this.dependencies.retryRules.consumeRetry(request, refusal, attempts.count)) {
                return { ...sending, answer: { kind: "refusal", refusal: attempts.getRefusal(refusal) } };
            }
            attempts.countRetry();
            tried.add(server.name as ServerId);
        }
    }

    private async waitForServer(
        request: CallerRequest,
        tried: ReadonlySet<ServerId>,
    ): Promise<Server | undefined> {
        const { clock, shutdown, view } = this.dependencies;
        const { deadlineAt, signal } = request;
        while (!signal.aborted && clock.now() < deadlineAt && shutdown.canServe(deadlineAt)) {
            const servers = listPoolServers(view, request.service.name, request.requestClass);
            const picked = this.pick(request, servers, tried);
            if (picked || servers.every(server => tried.has(server.name as ServerId))) {
                return picked;
            }
            await clock.sleep(RECHECK_INTERVAL_MS);
        }
        return undefined;
    }

    private pick(
        request: CallerRequest,
        servers: readonly Server[],
        tried: ReadonlySet<ServerId>,
    ): Server | undefined {
        const { clock, picker, view } = this.dependencies;
        const { hosts, position } = view.getShare();
        const candidates: PoolCandidate[] = servers.map(server => ({
            server: server.name as ServerId,
            slots: server.slots,
            limit: getHostLimit(server, hosts, position),
        }));
        const picked = picker.pick(candidates, tried, clock.now(), request.requestClass.isIdempotent);
        return servers.find(server => server.name === picked);
    }

    /** Whether the request could be sent to another server if this one did not answer. */
    private mayFollow(
        server: Server,
        request: CallerRequest,
        attempt: number,
        tried: ReadonlySet<ServerId>,
    ): boolean {
        const { retryRules, view } = this.dependencies;
        const others = listPoolServers(view, request.service.name, request.requestClass).filter(({ name }) =>
            name !== server.name && !tried.has(name as ServerId)
        );
        return others.length > 0 && request.body.isRepeatable
            && retryRules.isAllowed(request, "unknown", attempt);
    }

    private async sendTo(server: Server, request: CallerRequest, mayFollow: boolean): Promise<Sending> {
        const { clock, picker, sender } = this.dependencies;
        const serverId = server.name as ServerId;
        const startedAt = clock.now();
        picker.recordStart(serverId);
        const sending = await sender.send({
            id: request.id,
            tenant: request.tenant,
            service: request.service.name,
            requestClass: request.requestClass,
            server: serverId,
            address: server.address,
            slice: undefined,
            key: undefined,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body.open(),
            deadlineAt: mayFollow ? this.getAttemptEnd(request) : request.deadlineAt,
            signal: request.signal,
        });
        const { answer } = sending;
        const kind = answer.kind === "answered" ? "answered" : answer.refusal.outcome;
        const isWithdrawn = answer.kind === "refusal" && isCausedByCaller(answer.refusal.reason);
        void sending.ended.then(() => {
            const now = clock.now();
            picker.recordResult(serverId, { kind, durationMs: now - startedAt, isWithdrawn }, now);
        });
        return sending;
    }

    /** An attempt that another one may follow times out early enough for that. */
    private getAttemptEnd(request: CallerRequest): number {
        const now = this.dependencies.clock.now();
        const { isIdempotent } = request.requestClass;
        return now + this.dependencies.picker.getAttemptTimeout(isIdempotent, request.deadlineAt - now);
    }

    private refuseWithoutServer(request: CallerRequest, tried: ReadonlySet<ServerId>): Sending {
        return { answer: this.createRefusal(request, tried), ended: Promise.resolve() };
    }

    private createRefusal(request: CallerRequest, tried: ReadonlySet<ServerId>): Answer {
        const { clock, shutdown } = this.dependencies;
        if (clock.now() >= request.deadlineAt) {
            return refuse("deadlineBeforeStart", "the deadline passed before a backend server had room");
        }
        if (!shutdown.canServe(request.deadlineAt)) {
            return refuseStopping();
        }
        return refuse(
            "noServer",
            tried.size > 0
                ? "no further backend server of the class can be tried"
                : "no backend server of the class is declared, or all are leaving",
        );
    }
}

/** Whether a refusal was caused by the caller and says nothing about the server. */
function isCausedByCaller(reason: string): boolean {
    return reason === "callerGone" || reason === "bodyBroken" || reason === "uploadStalled";
}
