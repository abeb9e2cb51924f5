import type { Clock, Metrics, RandomSource, ServerId } from "@arbutusdoor/common";
import type { Declaration, Server } from "@arbutusdoor/configuration";
import {
    newPoolPicker,
    type PoolCandidate,
    type PoolPicker,
    type PoolPickerSettings,
    splitLimit,
} from "@arbutusdoor/policy";
import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";
import { refuse } from "../serving/refuse.js";
import type { ServerSender } from "../serving/serverSender.js";
import { RequestRouter } from "./requestRouter.js";
import type { RetryRules } from "./retryRules.js";

const LOOK_AGAIN_MS = 5;

/** What the pooled router needs to know of the system around it. */
type PoolView = {
    readonly dataCentre: string;
    readonly pickerSettings: PoolPickerSettings;
    /** The declaration in force. */
    readonly getDeclaration: () => Declaration | undefined;
    /** Number of entry hosts that share the servers' connections, and the place of this one among them. */
    readonly getShare: () => { readonly hosts: number; readonly position: number; };
    /** Whether a server has said that it leaves, or the platform's list says so. */
    readonly isLeaving: (server: ServerId) => boolean;
};

/** Routes a request of a pooled service straight to a server, chosen from what this host saw of the servers itself. */
export class PooledRouter extends RequestRouter {
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    private readonly random: RandomSource;
    private readonly sender: ServerSender;
    private readonly retryRules: RetryRules;
    private readonly view: PoolView;
    private readonly pickers = new Map<string, PoolPicker>();

    constructor(
        clock: Clock,
        metrics: Metrics,
        random: RandomSource,
        sender: ServerSender,
        retryRules: RetryRules,
        view: PoolView,
    ) {
        super();
        this.clock = clock;
        this.metrics = metrics;
        this.random = random;
        this.sender = sender;
        this.retryRules = retryRules;
        this.view = view;
    }

    override async route(request: CallerRequest): Promise<Answer> {
        this.retryRules.begin(request);
        const visited = new Set<ServerId>();
        for (let attempt = 1;; attempt++) {
            const server = await this.waitForServer(request, visited);
            if (!server) {
                return this.refuseWithoutServer(request, visited);
            }
            const answer = await this.sendTo(server, request);
            if (answer.kind === "answered" || !this.retryRules.takeRetry(request, answer.refusal, attempt)) {
                return answer;
            }
            visited.add(server.name as ServerId);
        }
    }

    private async waitForServer(
        request: CallerRequest,
        visited: ReadonlySet<ServerId>,
    ): Promise<Server | undefined> {
        while (!request.signal.aborted && this.clock.now() < request.deadlineAt) {
            const servers = this.listServers(request);
            const picked = this.pick(request, servers, visited);
            if (
                picked || servers.length === 0
                || servers.every(server => visited.has(server.name as ServerId))
            ) {
                return picked;
            }
            await this.clock.sleep(LOOK_AGAIN_MS);
        }
        return undefined;
    }

    private refuseWithoutServer(request: CallerRequest, visited: ReadonlySet<ServerId>): Answer {
        if (this.clock.now() >= request.deadlineAt) {
            return refuse("deadlineBeforeStart", "the deadline passed before a backend server had room");
        }
        const detail = visited.size > 0
            ? "no further backend server of the class can be tried"
            : "no backend server of the class is declared or all are leaving";
        return refuse("noServer", detail);
    }

    private async sendTo(server: Server, request: CallerRequest): Promise<Answer> {
        const picker = this.getPicker(request.service.name);
        const serverId = server.name as ServerId;
        const startedAt = this.clock.now();
        picker.started(serverId);
        const { answer, ended } = await this.sender.send({
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
            deadlineAt: request.deadlineAt,
            signal: request.signal,
        });
        const kind = answer.kind === "answered" ? "answered" : answer.refusal.outcome;
        void ended.then(() => {
            const now = this.clock.now();
            picker.ended(serverId, { kind, durationMs: now - startedAt }, now);
        });
        this.metrics.count("arbutusdoor_pool_sends_total", { service: request.service.name, outcome: kind });
        return answer;
    }

    private pick(
        request: CallerRequest,
        servers: readonly Server[],
        visited: ReadonlySet<ServerId>,
    ): Server | undefined {
        const { hosts, position } = this.view.getShare();
        const candidates: PoolCandidate[] = servers.map(server => ({
            server: server.name as ServerId,
            slots: server.slots,
            limit: splitLimit(server.connections, hosts, position),
        }));
        const picker = this.getPicker(request.service.name);
        const picked = picker.pick(candidates, visited, this.clock.now(), request.requestClass.isIdempotent);
        return servers.find(server => server.name === picked);
    }

    /** Servers of the class that take new work; those of this host's data centre alone as long as there are any. */
    private listServers(request: CallerRequest): readonly Server[] {
        const declared = this.view.getDeclaration()?.servers ?? [];
        const { servers: allowed } = request.requestClass;
        const open = declared.filter(server =>
            server.service === request.service.name
            && !server.isDraining
            && (allowed === undefined || allowed.includes(server.name))
            && !this.view.isLeaving(server.name as ServerId)
        );
        const near = open.filter(server => server.dataCentre === this.view.dataCentre);
        return near.length > 0 ? near : open;
    }

    private getPicker(service: string): PoolPicker {
        let picker = this.pickers.get(service);
        if (!picker) {
            picker = newPoolPicker(this.view.pickerSettings, this.random);
            this.pickers.set(service, picker);
        }
        return picker;
    }
}
