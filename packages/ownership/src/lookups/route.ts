import type { Refusal, ServerId, ServerIncarnation, SliceId } from "@arbutusdoor/common";
import type { HostIdentity } from "../state/hostIdentity.js";

/** Where a request of a key goes now: by which grantors to which server, or why nowhere. */
export type Route =
    | {
        readonly kind: "route";
        readonly slice: SliceId;
        readonly generation: number;
        readonly server: ServerId;
        readonly serverIncarnation: ServerIncarnation;
        /** IP number and port of the server. */
        readonly address: string;
        /** Live grantors of the server in order of preference; this host among them when it is one. */
        readonly grantors: readonly HostIdentity[];
        readonly isLocalGrantor: boolean;
    }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };
