import type { SliceGeneration } from "@arbutusdoor/clients";
import type { ClassId, Milliseconds, RequestId, ServerId, ServiceId } from "@arbutusdoor/common";

/** A caller's request on its way from one entry host to another; plain data, without its body. */
export type RelayRequest = {
    /** Unique for each hand-over; a copy with the same id is refused and never run. */
    readonly id: RequestId;
    readonly service: ServiceId;
    readonly key: string | undefined;
    readonly classId: ClassId;
    readonly method: string;
    /** Path and query as the backend server is to see it. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    /** Time left until the caller's deadline when the request was handed over. */
    readonly deadline: Milliseconds;
    /** Backend server that is meant, or `undefined` when the receiving host chooses. */
    readonly server: ServerId | undefined;
    /** Slice and generation that the sending host routed by, for keyed services. */
    readonly slice: SliceGeneration | undefined;
    /** Whether a body follows. */
    readonly hasBody: boolean;
    /**
     * Whether the sending host can well send the request again elsewhere, so that after the loss of the link it does not wait
     * for word of it. Stays at the sending host.
     */
    readonly isRepeatable?: boolean;
};
