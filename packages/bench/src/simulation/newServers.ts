import type { Clock, ServerId } from "@arbutusdoor/common";
import type { ServiceProfile } from "../workload/serviceProfile.js";
import type { Fault } from "./fault.js";
import { SimulatedServer } from "./simulatedServer.js";

/** Requests that wait inside a server for each of its slots before it refuses more. */
const BACKLOG_PER_SLOT = 8;

/** The servers of a service; the first one has the faults, or all have them. */
export function newServers(
    clock: Clock,
    { name, servers, slots }: ServiceProfile,
    faults: readonly Fault[],
    isEverywhere = false,
): SimulatedServer[] {
    return [...Array(servers).keys()].map(index => {
        const ownFaults = index === 0 || isEverywhere ? faults : [];
        const id = `${name}-${index}` as ServerId;
        return new SimulatedServer(clock, id, slots, BACKLOG_PER_SLOT * slots, ownFaults);
    });
}
