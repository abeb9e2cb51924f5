import type { Milliseconds } from "@arbutusdoor/common";

/** When a link last received something from its peer, last sent something and last ran its tick. */
type HeartbeatState = {
    readonly receivedAt: Milliseconds;
    readonly sentAt: Milliseconds;
    readonly tickedAt: Milliseconds;
};

/** Result of a tick: the next state and what the link has to do. */
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
 * Decides at a tick, once per interval, whether the link is lost or a heartbeat is due. A late tick means that this process
 * was paused: messages that the peer sent meanwhile have not been read yet, so its timeout starts again.
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
