import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyHolder } from "./keyHolder.js";

/**
 * Why an earlier owner of a range holds nothing of it any more: it answered a release; its end is proved; its last grant has lapsed;
 * or no grant to it is known or reckoned with.
 */
export type StopProof = {
    readonly holder: KeyHolder;
    readonly cause: "released" | "dead" | "lapsed" | "unsent";
    /** Of a lapse: time since the last grant that may have been sent. */
    readonly grantAgeMs: Milliseconds | undefined;
    /** Of a lapse: whether that grant is one that a predecessor may have sent. */
    readonly isInherited: boolean;
};
