import type { Refusal, ServerId, ServerIncarnation, SliceId } from "@arbutusdoor/common";
import type { HostIdentity } from "../state/hostIdentity.js";

/** Where a request for a key goes now: through which grantors to which server, or why it is refused. */
export type Route =
    | {
        readonly kind: "route";
        readonly slice: SliceId;
        readonly generation: number;
        readonly server: ServerId;
        readonly serverIncarnation: ServerIncarnation;
        /** IP number and port of the server. */
        readonly address: string;
        /** Live grantors of the server in order of preference, this host included if it is one. */
        readonly grantors: readonly HostIdentity[];
        readonly isLocalGrantor: boolean;
    }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };
