import type { ServerId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";

/** What the router of pooled services needs to know of the system around it. */
export abstract class PoolView {
    /** Data centre of this host. */
    abstract readonly dataCentre: string;

    /** The declaration in force. */
    abstract getDeclaration(): Declaration | undefined;

    /** Number of entry hosts that share the pooled servers, and the place of this one among them. */
    abstract getShare(): { readonly hosts: number; readonly position: number; };

    /** Whether the platform or the server itself says that it leaves. */
    abstract isLeaving(server: ServerId): boolean;
}
