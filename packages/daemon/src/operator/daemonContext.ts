import type { TableService } from "@arbutusdoor/clients";
import {
    type Clock,
    getKeyHash,
    type LogEvent,
    type LogFields,
    type OperationId,
    type RandomSource,
    type ServerId,
    type ServiceId,
} from "@arbutusdoor/common";
import {
    attestLoss,
    type AttestOutcome,
    type AttestRequest,
    type ConfigurationSettings,
    type ConfigurationVersion,
    type KeyExplanation,
    type SubmitOutcome,
    type SystemStatus,
    type WatchEvent,
} from "@arbutusdoor/configuration";
import { getSliceOf } from "@arbutusdoor/ownership";
import type { ConfigurationSync } from "../configuration/configurationSync.js";
import type { OwnershipDriver } from "../ownership/ownershipDriver.js";
import type { Peers } from "../peers/peers.js";
import { OperatorContext } from "./operatorContext.js";

/** Dependencies of the context. */
type DaemonContextDependencies = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly table: TableService;
    readonly settings: ConfigurationSettings;
    readonly peers: Peers;
    readonly configuration: ConfigurationSync;
    readonly ownership: OwnershipDriver;
    /** Calls the listener with each log event from now on, until the returned function is called. */
    readonly onLog: (listener: (event: LogEvent, fields: LogFields) => void) => () => void;
};

/** Answers operators' calls from this host's knowledge. */
export class DaemonContext extends OperatorContext {
    private readonly dependencies: DaemonContextDependencies;

    constructor(dependencies: DaemonContextDependencies) {
        super();
        this.dependencies = dependencies;
    }

    override getConfiguration(): ConfigurationVersion | undefined {
        return this.dependencies.configuration.current();
    }

    override submit(
        baseVersion: number,
        declaration: unknown,
        operationId: OperationId,
    ): Promise<SubmitOutcome> {
        return this.dependencies.configuration.manager.submit(baseVersion, declaration, operationId);
    }

    override async getStatus(): Promise<SystemStatus> {
        const { configuration, ownership, peers } = this.dependencies;
        const current = configuration.current();
        const version = current?.version ?? 0;
        const declaration = current?.declaration;
        return {
            host: peers.self.host,
            incarnation: peers.self.incarnation,
            dataCentre: peers.self.dataCentre,
            configuration: current && { version, digest: current.digest },
            peers: peers.list().map(({ host, dataCentre }) => ({ host, dataCentre, isConnected: true })),
            hosts: configuration.listVersions().map(other => ({
                ...other,
                isConfirmed: other.version >= version,
            })),
            servers: (declaration?.servers ?? []).map(server => ({
                server: server.name,
                service: server.service,
                dataCentre: server.dataCentre,
                ...this.getServerState(server.name as ServerId, server.isDraining),
            })),
            deciders: Object.entries(ownership.state.coordinators)
                .map(([dataCentre, coordinator]) => ({ dataCentre, host: coordinator.identity.host })),
        };
    }

    override async explain(service: string, key: string): Promise<KeyExplanation> {
        const declaration = this.dependencies.configuration.current()?.declaration;
        if (!declaration) {
            return { kind: "unavailable", reason: "no configuration is in force on this entry host" };
        }
        const declared = declaration.services.find(other => other.name === service);
        if (!declared) {
            return { kind: "unknownService" };
        }
        if (declared.kind === "pooled") {
            const servers = declaration.servers.filter(server => server.service === service);
            return {
                kind: "pooled",
                service,
                servers: servers.map(server => server.name),
                reasons: ["any of these servers may take a request of the service"],
            };
        }
        return this.explainKey(service, key, declared.routes.some(route => route.key === key));
    }

    override attestLost(request: AttestRequest): Promise<AttestOutcome> {
        const { clock, random, settings, table } = this.dependencies;
        return attestLoss(request.loss, request.by, request.operationId, { clock, random, table, settings });
    }

    override watch(listener: (event: WatchEvent) => void): () => void {
        return this.dependencies.onLog((event, fields) =>
            listener({ at: this.dependencies.clock.wallTime(), event, fields })
        );
    }

    private explainKey(service: string, key: string, isRoute: boolean): KeyExplanation {
        const { ownership } = this.dependencies;
        const slice = getSliceOf(ownership.state, service as ServiceId, key);
        const common = {
            kind: "keyed" as const,
            service,
            key,
            hash: getKeyHash(key),
            grantors: [] as string[],
        };
        if (!slice) {
            const reasons = ["this entry host knows no assignment of the service yet"];
            return { ...common, slice: "", origin: "range", state: "unowned", reasons };
        }
        const route = ownership.getRoute(service, key);
        const origin = slice.key === undefined ? "range" : "hotKey";
        const reasons = route.kind === "refusal"
            ? [route.refusal.detail]
            : [`requests go to ${route.server} by way of ${route.grantors[0]?.host ?? "no host"}`];
        const state = slice.former.length > 0 ? "moving" : slice.owner ? "held" : "unowned";
        return {
            ...common,
            slice: slice.slice,
            origin: isRoute ? "route" : origin,
            state,
            server: slice.owner?.server,
            incarnation: slice.owner?.incarnation,
            generation: slice.generation,
            dataCentre: slice.home,
            grantors: route.kind === "route" ? route.grantors.map(grantor => grantor.host) : [],
            reasons,
        };
    }

    private getServerState(server: ServerId, isDraining: boolean) {
        const { state } = this.dependencies.ownership;
        const row = state.servers[server]?.value;
        const isBarred = (state.revocations[server]?.length ?? 0) > 0;
        const serverState = isDraining ? "draining" : isBarred ? "barred" : row ? "known" : "unknown";
        return {
            state: serverState,
            incarnation: row?.incarnation,
            grantors: (row?.list.grantors ?? []).map(grantor => grantor.host),
        };
    }
}
