import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import type { Server } from "@arbutusdoor/configuration";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Probes declared servers of keyed services that have no row, to find out their incarnations. */
export function probeServers(state: HostState, now: Milliseconds): Step {
    const { services = [], servers = [] } = state.configuration?.declaration ?? {};
    const isKeyed = (server: Server) =>
        services.some(service => service.name === server.service && service.kind === "keyed");
    const isDue = (server: Server) => {
        const name = server.name as ServerId;
        const probe = state.coordinator.probes[name];
        const isLate = !probe || now - probe.sentAt >= state.settings.renewIntervalMs;
        return server.dataCentre === state.self.dataCentre && !state.servers[name] && isKeyed(server)
            && isLate;
    };
    return sequence(
        state,
        ...servers.filter(isDue).map(server => (current: HostState) => probe(current, server, now)),
    );
}

function probe(state: HostState, server: Server, now: Milliseconds): Step {
    const name = server.name as ServerId;
    const { host, incarnation } = state.self;
    const order = {
        server: name,
        from: { host, incarnation },
        listVersion: 0,
        epoch: 0,
        take: [],
        fence: [],
    };
    const known = state.coordinator.probes[name]?.incarnation;
    const probes = { ...state.coordinator.probes, [name]: { incarnation: known, sentAt: now } };
    return {
        state: { ...state, coordinator: { ...state.coordinator, probes } },
        effects: [{
            kind: "sendOrder",
            address: server.address,
            order,
            timeout: state.settings.orderTimeoutMs,
        }],
    };
}
