import type { Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { Evacuations } from "../discovery/evacuations.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { KeyHolder } from "./keyHolder.js";
import type { ServerCapacity } from "./serverCapacity.js";

/** About the time until keys that are to move have been granted to their next owner; a shorter coldness is over by then. */
const MOVE_MS: Milliseconds = 1_000;

/** Dependencies of the placement. */
type KeyPlacementParts = {
    readonly directory: ServerDirectory;
    readonly evacuations: Evacuations;
    /** Whether cold servers of a service may get only few requests. */
    readonly limitsCold: (service: ServiceId) => boolean;
};

/** Which servers must not get keys, or must give them up, because they are cold or their data centre is evacuated. */
export class KeyPlacement {
    private readonly parts: KeyPlacementParts;

    constructor(parts: KeyPlacementParts) {
        this.parts = parts;
    }

    /** Returns the servers that may get keys: none of an evacuated data centre, and cold ones only if all are cold. */
    selectReceivers(servers: readonly ServerCapacity[]): readonly ServerCapacity[] {
        const open = servers.filter(({ holder }) => !this.isEvacuated(holder));
        const warm = open.filter(({ holder }) => this.getColdTime(holder) === 0);
        return warm.length > 0 ? warm : open;
    }

    /** Whether an owner stays cold for longer than it takes to move its keys. */
    staysCold(owner: KeyHolder): boolean {
        return this.getColdTime(owner) >= MOVE_MS;
    }

    /** Whether an owner's data centre is evacuated. */
    isEvacuated({ id }: KeyHolder): boolean {
        const { directory, evacuations } = this.parts;
        const server = evacuations.size > 0 ? directory.findNewest(id) : undefined;
        return server !== undefined && evacuations.isEvacuated(server.dataCentre);
    }

    /** Returns how much longer hosts may send a server only few requests since it is cold. */
    private getColdTime({ id }: KeyHolder): Milliseconds {
        const { directory, limitsCold } = this.parts;
        const timeLeft = directory.cold.getTimeLeft(id);
        const server = timeLeft > 0 ? directory.findNewest(id) : undefined;
        return server && limitsCold(server.service) ? timeLeft : 0;
    }
}
