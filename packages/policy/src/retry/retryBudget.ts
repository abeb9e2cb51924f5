import type { ClassId, ServiceId } from "@arbutusdoor/common";
import type { RetryBudgetSettings } from "./retryBudgetSettings.js";

/** Retries that each class of each service has left: earned by first attempts, spent by retries. */
export class RetryBudget {
    private readonly tokens = new Map<string, number>();
    private readonly settings: RetryBudgetSettings;

    constructor(settings: RetryBudgetSettings) {
        this.settings = settings;
    }

    /** Counts a first attempt. */
    earn(service: ServiceId, classId: ClassId): void {
        const earned = this.getTokens(service, classId) + this.settings.share;
        this.store(service, classId, Math.min(this.settings.maxTokens, earned));
    }

    /** Counts a retry. Returns false, and counts nothing, when less than a whole one is left. */
    spend(service: ServiceId, classId: ClassId): boolean {
        const left = this.getTokens(service, classId);
        if (left < 1) {
            return false;
        }
        this.store(service, classId, left - 1);
        return true;
    }

    /** Retries left, with the fraction earned towards the next one. */
    getTokens(service: ServiceId, classId: ClassId): number {
        return this.tokens.get(getName(service, classId)) ?? this.settings.initialTokens;
    }

    private store(service: ServiceId, classId: ClassId, value: number): void {
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
