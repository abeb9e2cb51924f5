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

/** The daemon as seen by the operators' port. Failures are returned as outcomes; a rejection is a fault of the daemon. */
export abstract class OperatorContext {
    /** Returns the configuration in force on this host, or `undefined` before the first one. */
    abstract getConfiguration(): ConfigurationVersion | undefined;

    /** Submits a declaration that is based on a version; see ConfigurationManager.submit. */
    abstract submit(
        baseVersion: number,
        declaration: unknown,
        operationId: OperationId,
    ): Promise<SubmitOutcome>;

    /** Returns the status of the system as seen by this host. */
    abstract getStatus(): Promise<SystemStatus>;

    /** Explains where a key is and why. */
    abstract explain(service: string, key: string): Promise<KeyExplanation>;

    /** Records an operator's attestation of a loss; see attestLoss. */
    abstract attestLost(request: AttestRequest): Promise<AttestOutcome>;

    /** Calls the listener with each event from now on, until the returned function is called. */
    abstract watch(listener: (event: WatchEvent) => void): () => void;
}
