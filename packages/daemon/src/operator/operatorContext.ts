import type { OperationId } from "@arbutusdoor/common";
import type {
    AttestOutcome,
    AttestRequest,
    ConfigurationVersion,
    KeyExplanation,
    SubmitOutcome,
    SystemStatus,
    WatchEvent,
} from "@arbutusdoor/configuration";

/** What the operators' port needs from the daemon. Failures are outcomes; a rejection is a fault of the daemon. */
export abstract class OperatorContext {
    /** The configuration in force on this host, or `undefined` before the first one. */
    abstract getConfiguration(): ConfigurationVersion | undefined;

    /** Submits a declaration that is based on a version; see ConfigurationKeeper.submit. */
    abstract submit(
        baseVersion: number,
        declaration: unknown,
        operationId: OperationId,
    ): Promise<SubmitOutcome>;

    /** The system as this host sees it. */
    abstract getStatus(): Promise<SystemStatus>;

    /** Where a key is and why. */
    abstract explain(service: string, key: string): Promise<KeyExplanation>;

    /** Records an operator's word that something is lost; see attestLoss. */
    abstract attestLost(request: AttestRequest): Promise<AttestOutcome>;

    /** Calls the listener with each event from now on, until the returned function is called. */
    abstract watch(listener: (event: WatchEvent) => void): () => void;
}
