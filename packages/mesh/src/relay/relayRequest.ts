import type { SliceGeneration } from "@arbutusdoor/clients";
import type { ClassId, Milliseconds, RequestId, ServerId, ServiceId } from "@arbutusdoor/common";

/** A caller's request relayed from one entry host to another; plain data, without its body. */
export type RelayRequest = {
    /** Unique for each relay; a copy with the same id is refused and never run. */
    readonly id: RequestId;
    readonly service: ServiceId;
    readonly key: string | undefined;
    readonly classId: ClassId;
    readonly method: string;
    /** Path and query to send to the backend server. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    /** Time left until the caller's deadline when the request was relayed. */
    readonly deadline: Milliseconds;
    /** Target backend server, or `undefined` when the receiving host chooses. */
    readonly server: ServerId | undefined;
    /** Slice and fencing token that the sending host used for routing, for keyed services. */
    readonly slice: SliceGeneration | undefined;
    /** Whether a body follows. */
    readonly hasBody: boolean;
    /**
     * Whether the sending host can safely retry the request elsewhere, so that it does not wait for the request's status after
     * the link is lost. Not sent to the peer.
     */
    readonly isRepeatable?: boolean;
};
