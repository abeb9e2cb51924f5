import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import { getAllGrantors } from "./getAllGrantors.js";

/**
 * Ends a takeover attempt because the server answers. Withdraws its revocations at once if no transaction may rely on them; otherwise only
 * a new version of the server's row ends them.
 */
export function abandonTakeover(state: HostState, server: ServerId, now: Milliseconds): Step {
    const { [server]: attempt, ...others } = state.coordinator.takeovers;
    const row = state.servers[server]?.value;
    if (!attempt || !row) {
        return { state, effects: [] };
    }
    if (attempt.operations.length > 0) {
        const takeovers = { ...others, [server]: { ...attempt, isAbandoned: true } };
        return { state: { ...state, coordinator: { ...state.coordinator, takeovers } }, effects: [] };
    }
    const nextTakeoverAt = {
        ...state.coordinator.nextTakeoverAt,
        [server]: now + state.settings.reportIntervalMs,
    };
    const ended = {
        ...state,
        coordinator: { ...state.coordinator, takeovers: others, nextTakeoverAt },
    };
    const { barId } = attempt;
    return sequence(
        ended,
        ...getAllGrantors(row).map(member => (current: HostState) =>
            sendTo(current, member.host, { kind: "unbar", server, barId }, now)
        ),
    );
}
