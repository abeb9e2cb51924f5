import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyHolder } from "./keyHolder.js";

/**
 * Proof that an earlier owner has stopped serving a range: it answered a release (`released`), its process is proved to have ended
 * (`dead`), its last grant has expired (`lapsed`), or no grant to it is known or assumed (`unsent`).
 */
export type StopProof = {
    readonly holder: KeyHolder;
    readonly cause: "released" | "dead" | "lapsed" | "unsent";
    /** For `lapsed`: time since the last grant that may have been sent. */
    readonly grantAgeMs: Milliseconds | undefined;
    /** For `lapsed`: whether that grant is one that a predecessor may have sent. */
    readonly isInherited: boolean;
};
