import type { Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";

/** Decides whether a server may get a request now. Asked when a request is routed and again when it gets its connection. */
export class ServerAdmission {
    private readonly directory: ServerDirectory;
    private readonly getDrainMs: () => Milliseconds;

    /** @param getDrainMs how long a leaving server may still get requests */
    constructor(directory: ServerDirectory, getDrainMs: () => Milliseconds) {
        this.directory = directory;
        this.getDrainMs = getDrainMs;
    }

    /** Whether a request may be sent to the server now. */
    mayReceive({ id }: RegisteredServer): boolean {
        const leavingMs = this.directory.getMaxLeavingTime(id);
        return leavingMs === undefined || leavingMs < this.getDrainMs();
    }
}
