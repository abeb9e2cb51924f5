import type { ClassId, Clock, OutcomeKind, Refusal, ServiceId } from "@arbutusdoor/common";
import { mayRetry, RetryBudget, type RetryBudgetSettings } from "@arbutusdoor/policy";
import type { CallerRequest } from "../entry/callerRequest.js";

/** Decides whether a request is retried, within the retry budget of its class. */
export class RetryRules {
    private readonly clock: Clock;
    private readonly budget: RetryBudget;

    constructor(clock: Clock, settings: RetryBudgetSettings) {
        this.clock = clock;
        this.budget = new RetryBudget(settings);
    }

    /** Counts a first attempt, which adds to the retry budget. */
    begin(request: CallerRequest): void {
        this.budget.earn(request.service.name as ServiceId, request.requestClass.name as ClassId);
    }

    /** Whether to retry the request after a refusal; a retry that is allowed is taken from the budget. */
    consumeRetry(request: CallerRequest, refusal: Refusal, attempt: number): boolean {
        const service = request.service.name as ServiceId;
        const classId = request.requestClass.name as ClassId;
        return this.isAllowed(request, refusal.outcome, attempt) && this.budget.spend(service, classId);
    }

    /** Whether the request could be retried now if its attempt ended with an outcome. */
    isAllowed(request: CallerRequest, outcome: OutcomeKind, attempt: number): boolean {
        const service = request.service.name as ServiceId;
        const classId = request.requestClass.name as ClassId;
        const remaining = request.deadlineAt - this.clock.now();
        const tokens = this.budget.getTokens(service, classId);
        return request.body.canOpen() && !request.signal.aborted
            && mayRetry(request.requestClass, outcome, attempt, tokens, remaining);
    }
}
