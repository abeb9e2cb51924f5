import type { ServerId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";

/** What the router of pooled services needs to know about the system. */
export abstract class PoolView {
    /** The data centre of this host. */
    abstract readonly dataCentre: string;

    /** The declaration in force. */
    abstract getDeclaration(): Declaration | undefined;

    /** Number of entry hosts that share the pooled servers, and the position of this host among them. */
    abstract getShare(): { readonly hosts: number; readonly position: number; };

    /** Whether the server is leaving according to the platform or to the server itself. */
    abstract isLeaving(server: ServerId): boolean;
}
