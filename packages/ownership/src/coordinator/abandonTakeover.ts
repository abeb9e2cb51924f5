import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import { getAllGrantors } from "./getAllGrantors.js";

/**
 * Ends a round because the server answers. The promises are given back at once if no transaction may go by them; otherwise only
 * a new version of the row ends them.
 */
export function abandonTakeover(state: HostState, server: ServerId, now: Milliseconds): Step {
    const { [server]: round, ...others } = state.coordinator.takeovers;
    const row = state.servers[server]?.value;
    if (!round || !row) {
        return { state, effects: [] };
    }
    if (round.operations.length > 0) {
        const rounds = { ...others, [server]: { ...round, isAbandoned: true } };
        return { state: { ...state, coordinator: { ...state.coordinator, takeovers: rounds } }, effects: [] };
    }
    const nextTakeoverAt = {
        ...state.coordinator.nextTakeoverAt,
        [server]: now + state.settings.reportIntervalMs,
    };
    const ended = {
        ...state,
        coordinator: { ...state.coordinator, takeovers: others, nextTakeoverAt: nextTakeoverAt },
    };
    const { barId } = round;
    return sequence(
        ended,
        ...getAllGrantors(row).map(member => (current: HostState) =>
            sendTo(current, member.host, { kind: "unbar", server, barId }, now)
        ),
    );
}
