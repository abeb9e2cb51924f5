import type { Server } from "../declaration/server.js";
import { server } from "../library/server.js";

type SampleServers = {
    readonly service: string;
    readonly count: number;
    /** First three parts of the servers' IP addresses. */
    readonly network: string;
    readonly port: number;
    /** The servers are distributed over these in turn. */
    readonly dataCentres: readonly string[];
    readonly slots: number;
    readonly connections: number;
};

/** Creates servers of one service, numbered from 01. */
export function createSampleServers(
    { service, count, network, port, dataCentres, slots, connections }: SampleServers,
): Server[] {
    return Array.from({ length: count }, (_, index) => {
        const number = index + 1;
        return server(`${service}-${String(number).padStart(2, "0")}`, {
            dataCentre: dataCentres[index % dataCentres.length] ?? "",
            service,
            address: `${network}.${number}:${port}`,
            slots,
            connections,
        });
    });
}
