import type { ClassId, Clock, Refusal, ServiceId } from "@arbutusdoor/common";
import { mayRetry, RetryBudget, type RetryBudgetSettings } from "@arbutusdoor/policy";
import type { CallerRequest } from "../entry/callerRequest.js";

/** Decides whether a request is attempted again, within the retry budget of its class. */
export class RetryRules {
    private readonly clock: Clock;
    private readonly budget: RetryBudget;

    constructor(clock: Clock, settings: RetryBudgetSettings) {
        this.clock = clock;
        this.budget = new RetryBudget(settings);
    }

    /** Counts a first attempt. */
    begin(request: CallerRequest): void {
        this.budget.earn(request.service.name as ServiceId, request.requestClass.name as ClassId);
    }

    /** Whether to attempt the request again after a refusal; counts the retry when so. */
    consumeRetry(request: CallerRequest, refusal: Refusal, attempt: number): boolean {
        const service = request.service.name as ServiceId;
        const classId = request.requestClass.name as ClassId;
        const remaining = request.deadlineAt - this.clock.now();
        const tokens = this.budget.getTokens(service, classId);
        const isAllowed = request.body.canOpen() && !request.signal.aborted
            && mayRetry(request.requestClass, refusal.outcome, attempt, tokens, remaining);
        return isAllowed && this.budget.spend(service, classId);
    }
}
