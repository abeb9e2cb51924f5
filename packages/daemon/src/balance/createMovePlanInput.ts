import type { Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import type { Declaration, Server, Service } from "@arbutusdoor/configuration";
import { type HostState, listServerConditions, type Slice } from "@arbutusdoor/ownership";
import type {
    LoadReport,
    MoveHistory,
    MovePlanInput,
    MovePlanSettings,
    PlaceableServer,
    PlacedSlice,
} from "@arbutusdoor/policy";

const HASH_SPAN = 2 ** 32;

/** Inputs of a plan besides the ownership state. */
type PlanContext = {
    readonly loads: LoadReport;
    readonly history: MoveHistory;
    /** When the current incarnation of each server was first seen. */
    readonly joinedAt: ReadonlyMap<ServerId, Milliseconds>;
    readonly settings: MovePlanSettings;
    readonly now: Milliseconds;
};

/** Creates the input of a move plan for this host's data centre; slices whose home is elsewhere are left out. */
export function createMovePlanInput(
    state: HostState,
    declaration: Declaration,
    service: Service,
    context: PlanContext,
): MovePlanInput {
    const slices = Object.values(state.slices[service.name as ServiceId]?.byName ?? {});
    const assignment = slices
        .filter(slice => slice.home === state.self.dataCentre)
        .flatMap(slice => createPlacedSlices(slice, service));
    const conditions = listServerConditions(state);
    const servers = declaration.servers
        .filter(server => server.service === service.name && server.dataCentre === state.self.dataCentre)
        .map(server => createPlaceableServer(server, conditions.get(server.name as ServerId), context));
    const { history, loads, now, settings } = context;
    return { assignment, loads, servers, objective: service.objective, now, history, settings };
}

function createPlacedSlices(slice: Slice, service: Service): PlacedSlice[] {
    if (!slice.owner) {
        return [];
    }
    const isRoute = service.routes.some(route => route.key === slice.key);
    return [{
        slice: slice.slice,
        server: slice.owner.server,
        isPinned: isRoute || slice.former.length > 0,
        isSingleKey: slice.key !== undefined,
        keyShare: slice.key === undefined ? (slice.to - slice.from) / HASH_SPAN : 0,
    }];
}

function createPlaceableServer(
    { name, slots }: Server,
    condition: PlaceableServer["state"] | undefined,
    { joinedAt }: PlanContext,
): PlaceableServer {
    const server = name as ServerId;
    const joined = joinedAt.get(server);
    return {
        server,
        slots,
        state: condition ?? "silent",
        ...(joined === undefined ? {} : { joinedAt: joined }),
    };
}
