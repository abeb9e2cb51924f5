import type { Milliseconds } from "@arbutusdoor/common";
import { handleReply } from "../grantor/handleReply.js";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

type OrderReplyInput = Extract<Input, { kind: "orderReply"; }>;

/** An order ended, with or without a reply. */
export class OrderReplyAction extends Action<"orderReply"> {
    readonly name = "orderReply";

    perform(state: HostState, input: OrderReplyInput, now: Milliseconds): Step {
        return sequence(
            state,
            current => handleReply(current, input.order, input.sentAt, input.outcome, now),
            current => ({ state: recordProbe(current, input), effects: [] }),
        );
    }
}

/** Records the incarnation that answered a coordinator's probe of a server without a row. */
function recordProbe(state: HostState, { order, outcome }: OrderReplyInput): HostState {
    const probe = state.coordinator.probes[order.server];
    if (!probe || state.servers[order.server] || outcome.kind !== "reply") {
        return state;
    }
    const { incarnation } = outcome.reply;
    const probes = { ...state.coordinator.probes, [order.server]: { ...probe, incarnation } };
    return { ...state, isPlanDue: true, coordinator: { ...state.coordinator, probes } };
}

actionRegistry.register(new OrderReplyAction());
