import type { OperationId } from "@arbutusdoor/common";
import {
    type AttestOutcome,
    type AttestRequest,
    checkDeclaration,
    type ConfigurationVersion,
    createConfigurationVersion,
    diffDeclarations,
    type KeyExplanation,
    type SubmitOutcome,
    type SystemStatus,
    type WatchEvent,
} from "@arbutusdoor/configuration";
import { OperatorContext } from "../../src/operator/operatorContext.js";

/** State shared by the hosts of one test. */
type SharedStore = {
    current: ConfigurationVersion | undefined;
    readonly recorded: Map<OperationId, number>;
    readonly attested: AttestRequest[];
};

/** Fake daemon that accepts submissions into a store, which several fakes may share. */
export class FakeOperatorContext extends OperatorContext {
    readonly store: SharedStore;
    readonly host: string;
    /** Replaces the answer to a submission after the store was changed. */
    onSubmitted: ((outcome: SubmitOutcome) => Promise<SubmitOutcome>) | undefined;
    /** Replaces a submission completely. */
    onSubmit: (() => Promise<SubmitOutcome>) | undefined;
    /** Versions of the other hosts in the status; this host's version is that of the store. */
    otherHosts: Record<string, number> = {};
    explanation: KeyExplanation = { kind: "unknownService" };
    attestOutcome: AttestOutcome | undefined;
    private readonly listeners = new Set<(event: WatchEvent) => void>();

    constructor(host = "host-a", store?: SharedStore) {
        super();
        this.host = host;
        this.store = store ?? { current: undefined, recorded: new Map(), attested: [] };
    }

    /** Number of open watch streams. */
    get watcherCount(): number {
        return this.listeners.size;
    }

    /** Sends an event to all watchers. */
    emit(event: WatchEvent): void {
        for (const listener of [...this.listeners]) {
            listener(event);
        }
    }

    override getConfiguration(): ConfigurationVersion | undefined {
        return this.store.current;
    }

    override async submit(base: number, json: unknown, operationId: OperationId): Promise<SubmitOutcome> {
        if (this.onSubmit) {
            return this.onSubmit();
        }
        const outcome = this.decide(base, json, operationId);
        return this.onSubmitted ? this.onSubmitted(outcome) : outcome;
    }

    override async getStatus(): Promise<SystemStatus> {
        const { current } = this.store;
        const version = current?.version ?? 0;
        const versions = Object.entries({ [this.host]: version, ...this.otherHosts });
        return {
            host: this.host,
            incarnation: `${this.host}-1`,
            dataCentre: "north",
            configuration: current && { version, digest: current.digest },
            peers: [{ host: "host-z", dataCentre: "south", isConnected: false }],
            hosts: versions.map(([host, other]) => ({ host, version: other, isConfirmed: other >= version })),
            servers: [
                {
                    server: "board-1",
                    service: "board",
                    dataCentre: "north",
                    state: "live",
                    incarnation: "i-1",
                    grantors: [this.host],
                },
            ],
            deciders: [{ dataCentre: "north", host: this.host }, { dataCentre: "south" }],
        };
    }

    override async explain(): Promise<KeyExplanation> {
        return this.explanation;
    }

    override async attestLost(request: AttestRequest): Promise<AttestOutcome> {
        if (this.attestOutcome) {
            return this.attestOutcome;
        }
        this.store.attested.push(request);
        const { by, loss, operationId } = request;
        return { kind: "recorded", attestation: { ...loss, by, operationId, attestedAt: 0 } };
    }

    override watch(listener: (event: WatchEvent) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private decide(base: number, json: unknown, operationId: OperationId): SubmitOutcome {
        const { current, recorded } = this.store;
        const version = recorded.get(operationId);
        if (version !== undefined) {
            return { kind: "accepted", version };
        }
        const check = checkDeclaration(json);
        if (check.kind === "invalid") {
            return { kind: "invalid", problems: [...check.problems] };
        }
        const currentVersion = current?.version ?? 0;
        if (currentVersion !== base) {
            const differences = current && diffDeclarations(current.declaration, check.declaration);
            return { kind: "conflict", currentVersion, differences };
        }
        this.store.current = createConfigurationVersion(base + 1, check.declaration);
        recorded.set(operationId, base + 1);
        return { kind: "accepted", version: base + 1 };
    }
}
