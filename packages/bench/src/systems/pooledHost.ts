import {
    type Clock,
    createRefusal,
    Metrics,
    type Milliseconds,
    type RandomSource,
    type Refusal,
    type ServerId,
    type ServiceId,
} from "@arbutusdoor/common";
import {
    createPoolPicker,
    mayRetry,
    type PoolCandidate,
    type PoolPicker,
    type PoolPickerSettings,
    RetryBudget,
    RetryBudgetSettings,
    ServerQueue,
    ServerQueueSettings,
} from "@arbutusdoor/policy";
import { Link } from "../simulation/link.js";
import type { ServerEnd } from "../simulation/serverEnd.js";
import type { SimulatedRequest } from "../simulation/simulatedRequest.js";
import type { SimulatedServer } from "../simulation/simulatedServer.js";
import type { RequestOutcome } from "../statistics/requestOutcome.js";
import { CallerWait } from "./callerWait.js";
import type { RetryMode } from "./retryMode.js";

const SERVICE = "service" as ServiceId;
const NO_SERVER_PAUSE_MS = 5;
const UNLIMITED = 1_000;

/** How an entry host of a pooled service behaves in a run. */
type PooledSettings = {
    readonly picker: PoolPickerSettings;
    /** Most requests of one host at one server. */
    readonly limit: number;
    readonly retryMode: RetryMode;
    /** Longest time that one attempt of an idempotent request may take; the picker says it when absent. */
    readonly attemptTimeout: Milliseconds | undefined;
};

/** An entry host that sends requests of a pooled service straight to the servers, with the real decisions. */
export class PooledHost {
    attempts = 0;
    private readonly clock: Clock;
    private readonly settings: PooledSettings;
    private readonly links: ReadonlyMap<ServerId, Link>;
    private readonly picker: PoolPicker;
    private readonly queue: ServerQueue;
    private readonly budget = new RetryBudget(RetryBudgetSettings.parse({}));

    constructor(
        clock: Clock,
        random: RandomSource,
        servers: readonly SimulatedServer[],
        settings: PooledSettings,
    ) {
        this.clock = clock;
        this.settings = settings;
        this.links = new Map(servers.map(server => [server.id, new Link(clock, server)]));
        this.picker = createPoolPicker(settings.picker, random);
        this.queue = new ServerQueue({
            clock,
            metrics: new Metrics(),
            slots: settings.limit * servers.length,
            settings: ServerQueueSettings.parse({}),
        });
    }

    /** Handles one request to its end. */
    async handle(request: SimulatedRequest): Promise<RequestOutcome> {
        const wait = new CallerWait(this.clock, request.deadlineAt);
        const { classId, priority, isIdempotent } = request.profile;
        this.budget.earn(SERVICE, classId);
        const submission = await this.queue.submit({
            id: String(request.id),
            classId,
            priority,
            isIdempotent,
            deadlineAt: request.deadlineAt,
            signal: wait.signal,
            run: () => this.run(request, wait.signal),
        });
        wait.end();
        const refusal = submission.kind === "refusal" ? submission.refusal : submission.value;
        const kind = refusal?.outcome ?? "answered";
        return { request, kind, reason: refusal?.reason ?? "", at: this.clock.now() };
    }

    /** Attempts the request as often as it may be. Returns the refusal, or `undefined` when it was answered. */
    private async run(request: SimulatedRequest, signal: AbortSignal): Promise<Refusal | undefined> {
        const tried = new Set<ServerId>();
        let mayHaveRun = false;
        for (let attempt = 1;; attempt++) {
            const server = await this.waitForServer(tried, request, signal);
            if (server === undefined) {
                return mayHaveRun ? createRefusal("deadlineAfterStart", "") : createRefusal("noServer", "");
            }
            const end = await this.attempt(server, request, signal);
            if (end.kind === "answered") {
                return undefined;
            }
            mayHaveRun ||= end.kind === "unknown";
            tried.add(server);
            if (!this.takeRetry(request, end, attempt)) {
                const reason = end.cause === "connectionLost" ? "connectionLost" : "deadlineAfterStart";
                return createRefusal(mayHaveRun ? reason : "serverRefused", "");
            }
        }
    }

    private async attempt(
        server: ServerId,
        request: SimulatedRequest,
        signal: AbortSignal,
    ): Promise<ServerEnd> {
        const startedAt = this.clock.now();
        const remaining = request.deadlineAt - startedAt;
        const { isIdempotent } = request.profile;
        const fixed = isIdempotent ? this.settings.attemptTimeout : undefined;
        const attemptTimeout = fixed ?? this.picker.getAttemptTimeout(isIdempotent, remaining);
        const wait = attemptTimeout < remaining
            ? new CallerWait(this.clock, startedAt + attemptTimeout, signal)
            : undefined;
        this.attempts++;
        this.picker.recordStart(server);
        const end = await this.links.get(server)!.send(request, wait?.signal ?? signal);
        wait?.end();
        const now = this.clock.now();
        const isWithdrawn = end.kind === "notRun" && (end.cause === "cancelled" || end.cause === "deadline");
        this.picker.recordResult(server, { kind: end.kind, durationMs: now - startedAt, isWithdrawn }, now);
        return end;
    }

    private async waitForServer(
        tried: ReadonlySet<ServerId>,
        { profile }: SimulatedRequest,
        signal: AbortSignal,
    ): Promise<ServerId | undefined> {
        while (!signal.aborted) {
            const server = this.picker.pick(
                this.getCandidates(),
                tried,
                this.clock.now(),
                profile.isIdempotent,
            );
            if (server !== undefined || tried.size >= this.links.size) {
                return server;
            }
            await this.clock.sleep(NO_SERVER_PAUSE_MS);
        }
        return undefined;
    }

    private takeRetry({ profile, deadlineAt }: SimulatedRequest, end: ServerEnd, attempt: number): boolean {
        const { retryMode } = this.settings;
        const tokens = retryMode === "budget" ? this.budget.getTokens(SERVICE, profile.classId) : UNLIMITED;
        const isAllowed = mayRetry(profile, end.kind, attempt, tokens, deadlineAt - this.clock.now());
        if (!isAllowed || retryMode === "never") {
            return false;
        }
        return retryMode === "unlimited" || this.budget.spend(SERVICE, profile.classId);
    }

    private getCandidates(): PoolCandidate[] {
        return [...this.links.values()].map(({ server }) => ({
            server: server.id,
            slots: server.slots,
            limit: this.settings.limit,
            reportedLoad: server.reportedLoad,
        }));
    }
}
