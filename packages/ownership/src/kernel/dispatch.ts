import { InvariantError, type Milliseconds } from "@arbutusdoor/common";
import "../actions/index.js";
import type { HostState } from "../state/hostState.js";
import { actionRegistry } from "./actionRegistry.js";
import type { Input } from "./input.js";
import { reconcile } from "./reconcile.js";
import { sequence } from "./sequence.js";
import type { Step } from "./step.js";

/**
 * The kernel: decides upon one input. Pure and synchronous.
 *
 * Rows of the table service are the only place where ownership is decided, by compare-and-set. A server row names the run of the server,
 * the epoch of its lease, and the grantors that may renew it; an assignment row names for each slice its owner as run and epoch, and the
 * former holders that may still run work of it. What follows from that:
 * - Any grantor renews by itself; a renewal ends a lease time after a clock reading that the server gave before.
 * - A takeover ends the epoch. It needs the word of every grantor that it renews and sends nothing (a bar), given after the latest lease
 *   that it can have renewed; an operator's attestation; or, where grantors need promises of each other, that the others let them run out.
 *   A bar stands until the row has a newer version, with which every takeover on its ground fails, or its decider gives it back.
 * - A planned move writes the new owner and the old one as former holder. The old one acknowledges a fence, and only then a second write
 *   drops it and the new owner's grantors let it take the slice. Whichever host is decider goes on from what the rows say.
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
