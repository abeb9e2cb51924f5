import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyHolder } from "./keyHolder.js";
import type { ServerCapacity } from "./serverCapacity.js";
import type { ServiceCoordinatorParts } from "./serviceCoordinatorParts.js";

/** Registry entries that expired during an outage of the store are back within two seconds of its end. */
const ENTRY_RETURN_MS = 1_900;
/** The store counts as unavailable once it has not answered for this long. */
const STORE_OUTAGE_MS = 1_600;

/** The servers of one keyed service as its coordinator sees them: what they can take, which may get keys, and which must lose theirs. */
export class ServiceServers {
    private readonly parts: ServiceCoordinatorParts;
    private storeOutageAt: Milliseconds = -Infinity;

    constructor(parts: ServiceCoordinatorParts) {
        this.parts = parts;
    }

    /** Records for how long the store has not answered. */
    recordStoreContact(age: Milliseconds, now: Milliseconds): void {
        if (age > STORE_OUTAGE_MS) {
            this.storeOutageAt = now;
        }
    }

    /** Returns the servers that are not leaving. One that has ended may still have its entry, or one of another writer. */
    list(): readonly ServerCapacity[] {
        const { clock, directory, liveness, service, speeds } = this.parts;
        const servers = directory.listReady(service).filter(server => {
            const state = liveness.getState(server);
            return state !== "dead" && state !== "replaced";
        });
        const usualWork = speeds.getUsualWork(servers);
        return servers.map(server => ({
            holder: { id: server.id, startedAt: server.startedAt },
            slots: server.slots,
            capacity: speeds.getCapacity(server, directory.isCold(server.id), usualWork, clock.now()),
        }));
    }

    /** Returns those of the servers that may get keys. */
    selectReceivers(servers: readonly ServerCapacity[]): readonly ServerCapacity[] {
        return this.parts.placement?.selectReceivers(servers) ?? servers;
    }

    /** Whether an owner cannot keep its keys. */
    mustLeave(owner: KeyHolder, isUnresponsive: boolean, now: Milliseconds): boolean {
        const { directory, liveness } = this.parts;
        const state = liveness.getState(owner);
        if (state === "dead" || state === "replaced" || isUnresponsive) {
            return true;
        }
        if (state === "live") {
            return false;
        }
        const wasStoreUnavailable = now - this.storeOutageAt < ENTRY_RETURN_MS + STORE_OUTAGE_MS;
        const leavingMs = directory.getLeavingTime(owner.id) ?? Infinity;
        return !wasStoreUnavailable || !directory.isMissing(owner.id) || leavingMs >= ENTRY_RETURN_MS;
    }
}
