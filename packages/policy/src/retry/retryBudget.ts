import type { ClassId, ServiceId } from "@arbutusdoor/common";
import type { RetryBudgetSettings } from "./retryBudgetSettings.js";

/** A token bucket of retries for each class of each service: first attempts add tokens, retries take them. */
export class RetryBudget {
    private readonly tokens = new Map<string, number>();
    private readonly settings: RetryBudgetSettings;

    constructor(settings: RetryBudgetSettings) {
        this.settings = settings;
    }

    /** Adds the tokens of a first attempt. */
    earn(service: ServiceId, classId: ClassId): void {
        const earned = this.getTokens(service, classId) + this.settings.share;
        this.setTokens(service, classId, Math.min(this.settings.maxTokens, earned));
    }

    /** Takes a token for a retry. Returns false, without taking any, when less than one is left. */
    spend(service: ServiceId, classId: ClassId): boolean {
        const left = this.getTokens(service, classId);
        if (left < 1) {
            return false;
        }
        this.setTokens(service, classId, left - 1);
        return true;
    }

    /** Returns the tokens left, including a fraction of the next one. */
    getTokens(service: ServiceId, classId: ClassId): number {
        return this.tokens.get(getName(service, classId)) ?? this.settings.initialTokens;
    }

    private setTokens(service: ServiceId, classId: ClassId, value: number): void {
        const name = getName(service, classId);
        this.tokens.delete(name);
        this.tokens.set(name, value);
        if (this.tokens.size > this.settings.maxClasses) {
            const [oldest] = this.tokens.keys();
            this.tokens.delete(oldest as string);
        }
    }
}

function getName(service: ServiceId, classId: ClassId): string {
    return `${service}/${classId}`;
}
