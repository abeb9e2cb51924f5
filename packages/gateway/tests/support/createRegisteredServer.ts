import type { DataCentreId, ServerId, ServiceId } from "@arbutusdoor/common";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";

/** Creates a registered server, with default values where the test sets none. */
export function createRegisteredServer(id: string, parts: Partial<RegisteredServer> = {}): RegisteredServer {
    return {
        id: id as ServerId,
        startedAt: 1,
        service: "board" as ServiceId,
        address: "10.0.0.1:80",
        dataCentre: "north" as DataCentreId,
        slots: 4,
        isDraining: false,
        warmupLeftMs: 0,
        ...parts,
    };
}
