import type { ServiceId } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";

/**
 * Mean size of a service's answers from which its requests are kept in their data centre. Smaller ones cost little to fetch from elsewhere; keeping
 * them served 5 in 100 bookings of 400 bytes less in time.
 */
const LARGE_ANSWER_BYTES = 2_048;
/** Answers before their mean size is known. */
const MIN_ANSWERS = 20;
const NEWEST_WEIGHT = 0.05;
const MAX_SERVICES = 256;

/** Sizes of a service's answers. */
type AnswerSizes = { count: number; meanBytes: number; };

/**
 * Decides for which services requests are kept in their data centre by target latency: where the servers report their load, as one host sees too few
 * answers to judge them otherwise, and where answers are large.
 */
export class SpillScope {
    private readonly isReporting: (server: RegisteredServer) => boolean;
    private readonly sizes = new Map<ServiceId, AnswerSizes>();

    /** @param isReporting whether a server has reported its load recently */
    constructor(isReporting: (server: RegisteredServer) => boolean) {
        this.isReporting = isReporting;
    }

    /** Records the size of an answer. */
    recordAnswer(service: ServiceId, bytes: number): void {
        const sizes = this.sizes.get(service) ?? { count: 0, meanBytes: bytes };
        sizes.count++;
        sizes.meanBytes += NEWEST_WEIGHT * (bytes - sizes.meanBytes);
        if (this.sizes.size < MAX_SERVICES) {
            this.sizes.set(service, sizes);
        }
    }

    /** Whether requests for a service are to be kept in their data centre. */
    includes(service: ServiceId, servers: readonly RegisteredServer[]): boolean {
        const { count, meanBytes } = this.sizes.get(service) ?? { count: 0, meanBytes: 0 };
        return count >= MIN_ANSWERS && meanBytes >= LARGE_ANSWER_BYTES && servers.some(this.isReporting);
    }
}
