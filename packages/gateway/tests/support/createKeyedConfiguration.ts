import type { ServiceId } from "@arbutusdoor/common";
import type { RoutedConfiguration } from "../../src/configuration/routedConfiguration.js";

/** Creates a configuration of one keyed service. */
export function createKeyedConfiguration(id: ServiceId): RoutedConfiguration {
    return {
        version: 1,
        routes: [],
        services: [{ id, maxConnections: 16, isKeyed: true, coldKeysMs: 0 }],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } as never,
    };
}
