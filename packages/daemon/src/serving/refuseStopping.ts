import { createRefusal } from "@arbutusdoor/common";
import type { Answer } from "./answer.js";

/** Creates an answer that refuses a request whose deadline the process does not outlast. */
export function refuseStopping(): Extract<Answer, { kind: "refusal"; }> {
    return {
        kind: "refusal",
        refusal: createRefusal("stopping", "the entry host stops before the request's deadline"),
    };
}
