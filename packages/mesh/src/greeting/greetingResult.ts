import type { GreetingRefusalReason } from "./greetingRefusalReason.js";
import type { Hello } from "./hello.js";

/** How a greeting ended. Unless it is `open`, the connection is closed. */
export type GreetingResult =
    | { readonly kind: "open"; readonly hello: Hello; readonly serial: number; }
    | {
        readonly kind: "refused";
        readonly reason: GreetingRefusalReason;
        /** Whether the peer refused. */
        readonly isByPeer: boolean;
        readonly hello: Hello | undefined;
    }
    | { readonly kind: "malformed"; }
    | { readonly kind: "lost"; };
