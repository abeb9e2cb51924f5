import { type DataCentreId, getKeyHash, type ServiceId, type SliceId } from "@arbutusdoor/common";
import type { Declaration, Service } from "@arbutusdoor/configuration";
import type { AssignmentRow } from "../rows/assignmentRow.js";
import type { Slice } from "../rows/slice.js";

const POSITIONS = 2 ** 32;

/**
 * Divides a service's keys into its first slices: ranges of equal size, home data centres in blocks by their numbers of servers, and a
 * slice for each pinned key. No slice has an owner yet.
 */
export function createInitialRows(
    declaration: Declaration,
    service: Service,
    slicesPerShard: number,
): readonly AssignmentRow[] {
    const homes = getHomes(declaration, service.name);
    const width = POSITIONS / service.slices;
    const ranges: Slice[] = [...Array(service.slices).keys()].map(index => ({
        slice: `range-${index}` as SliceId,
        from: Math.floor(index * width),
        to: Math.floor((index + 1) * width),
        generation: 0,
        home: homes[Math.floor((index * homes.length) / service.slices)]!,
        former: [],
    }));
    const rows: AssignmentRow[] = [];
    for (let start = 0; start < ranges.length; start += slicesPerShard) {
        const slices = ranges.slice(start, start + slicesPerShard);
        const pinned = getPinned(declaration, service, slices);
        rows.push({
            service: service.name as ServiceId,
            shard: rows.length,
            slices: [...slices, ...pinned],
            operationId: "",
        });
    }
    return rows;
}

/** The data centre of each server of the service, in declared order of data centres. */
function getHomes(declaration: Declaration, service: string): readonly DataCentreId[] {
    const servers = declaration.servers.filter(server => server.service === service && !server.isDraining);
    return declaration.dataCentres.flatMap(dataCentre =>
        servers.filter(server => server.dataCentre === dataCentre).map(() => dataCentre as DataCentreId)
    );
}

function getPinned(declaration: Declaration, service: Service, ranges: readonly Slice[]): readonly Slice[] {
    return service.routes.flatMap((route, index) => {
        const position = getKeyHash(route.key);
        const range = ranges.find(other => position >= other.from && position < other.to);
        const server = declaration.servers.find(other => other.name === route.server);
        if (!range || !server) {
            return [];
        }
        const slice = `route-${index}` as SliceId;
        return [{ ...range, slice, key: route.key, home: server.dataCentre as DataCentreId }];
    });
}
