import type { ServerId } from "@arbutusdoor/common";
import type { RequestClass, Server } from "@arbutusdoor/configuration";
import type { PoolView } from "./poolView.js";

/** Lists the servers of a pooled service that accept new work; only those of this host's data centre if there are any. */
export function listPoolServers(
    view: PoolView,
    service: string,
    requestClass?: RequestClass,
): readonly Server[] {
    const declared = view.getDeclaration()?.servers ?? [];
    const available = declared.filter(server =>
        server.service === service
        && !server.isDraining
        && (requestClass?.servers === undefined || requestClass.servers.includes(server.name))
        && !view.isLeaving(server.name as ServerId)
    );
    const nearby = available.filter(server => server.dataCentre === view.dataCentre);
    return nearby.length > 0 ? nearby : available;
}
