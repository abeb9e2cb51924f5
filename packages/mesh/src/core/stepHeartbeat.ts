import type { Milliseconds } from "@arbutusdoor/common";

/** When a link last heard from its peer, last sent something and last looked at the time. */
type HeartbeatState = {
    readonly receivedAt: Milliseconds;
    readonly sentAt: Milliseconds;
    readonly tickedAt: Milliseconds;
};

/** What a link has to do at a tick. */
type HeartbeatStep = {
    readonly state: HeartbeatState;
    readonly action: "none" | "send" | "lost";
};

type HeartbeatTimes = {
    readonly heartbeatIntervalMs: Milliseconds;
    readonly heartbeatTimeoutMs: Milliseconds;
};

const LATE_TICK_FACTOR = 2;
const IDLE_FRACTION = 0.5;

/**
 * Decides at a tick, one each interval, whether the link is lost or a heartbeat is due. A tick that comes late itself
 * means that this process stood still: what the peer sent meanwhile is still to be read, so its silence counts anew.
 */
export function stepHeartbeat(
    state: HeartbeatState,
    now: Milliseconds,
    times: HeartbeatTimes,
): HeartbeatStep {
    const wasPaused = now - state.tickedAt > times.heartbeatIntervalMs * LATE_TICK_FACTOR;
    const receivedAt = wasPaused ? now : state.receivedAt;
    const next = { ...state, receivedAt, tickedAt: now };
    if (now - receivedAt >= times.heartbeatTimeoutMs) {
        return { state: next, action: "lost" };
    }
    const isDue = now - state.sentAt >= times.heartbeatIntervalMs * IDLE_FRACTION;
    return { state: next, action: isDue ? "send" : "none" };
}
