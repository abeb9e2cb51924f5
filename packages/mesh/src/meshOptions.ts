import type { Clock, Logger, Metrics, RandomSource } from "@arbutusdoor/common";
import type { PeerIdentity } from "./identity/peerIdentity.js";
import type { MeshHandler } from "./meshHandler.js";
import type { MeshSettings } from "./settings/meshSettings.js";
import type { Transport } from "./transport/transport.js";

/** Options of a mesh. */
export type MeshOptions = {
    readonly self: PeerIdentity;
    /** IP address and port to accept links at. With port 0 a free port is bound, which replaces the port of `self.address`. */
    readonly listen: { readonly host: string; readonly port: number; };
    /** Addresses to dial. */
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly settings: MeshSettings;
    readonly handler: MeshHandler;
    /** Shared token; peers must prove that they have the same one. */
    readonly secret?: string;
    /** Defaults to WebSockets. */
    readonly transport?: Transport;
};
