import { InvariantError, type Milliseconds } from "@arbutusdoor/common";
import "../actions/index.js";
import type { HostState } from "../state/hostState.js";
import { actionRegistry } from "./actionRegistry.js";
import type { Input } from "./input.js";
import { reconcile } from "./reconcile.js";
import { sequence } from "./sequence.js";
import type { Step } from "./step.js";

/**
 * Runs the kernel on one input. Pure and synchronous.
 *
 * Rows of the table service are the only place where ownership is decided, by compare-and-set. A server row names the incarnation of the
 * server, the epoch of its lease, and the grantors that may renew it; an assignment row names for each slice its owner as incarnation and
 * epoch, and the former holders that may still run work of it. From this follows:
 * - Any grantor renews on its own; a renewal expires a lease time after a clock reading that the server gave before.
 * - A takeover ends the epoch. It needs every grantor's confirmation of a revocation (that it renews and sends nothing), given after the
 *   latest lease that it can have renewed has expired; an operator's attestation; or, where grantors need support from each other, that the
 *   others let their support of a grantor expire. A revocation is in force until the row has a newer version, with which every takeover
 *   based on the older one fails, or until its coordinator withdraws it.
 * - A planned move writes the new owner, and the old one as former holder. The old one acknowledges a fence, and only then a second write
 *   drops it and the new owner's grantors let it take the slice. Whichever host is coordinator continues from what the rows say.
 * - A new grantor reads the assignments fresh before it grants or sends anything.
 *
 * @param now the host's own monotonic time
 */
export function dispatch(state: HostState, input: Input, now: Milliseconds): Step {
    const action = actionRegistry.get(input.kind);
    if (!action) {
        throw new InvariantError(`no action for input "${input.kind}"`);
    }
    const begun = { ...state, counter: state.counter + 1, updatedAt: now };
    return sequence(
        begun,
        current => action.perform(current, input, now),
        current => reconcile(current, now, input.kind === "tick"),
    );
}
