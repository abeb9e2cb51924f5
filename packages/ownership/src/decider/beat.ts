import type { Milliseconds } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import { getResponsibilities } from "./getResponsibilities.js";

/** The holder of the decider row says so to its peers and itself, while nobody else can have claimed the row. */
export function beat(state: HostState, now: Milliseconds): Step {
    const { decider, settings, self } = state;
    const isOut = state.table.failures > 0;
    const isFresh = now - decider.rowSeenAt < settings.deciderLeaseMs || isOut;
    if (!decider.isHeld || !isFresh || now < decider.nextBeatAt || state.isResigning) {
        return { state, effects: [] };
    }
    const timed = { ...state, decider: { ...decider, nextBeatAt: now + settings.beatIntervalMs } };
    const hosts = Object.values(state.peers).filter(peer => peer.isUp).map(peer => peer.identity.host);
    const term = decider.row?.value.term ?? 0;
    const beats = getResponsibilities(state).flatMap(dataCentre =>
        [self.host, ...hosts].map(host => (current: HostState) =>
            sendTo(current, host, { kind: "deciderHere", dataCentre, term }, now)
        )
    );
    return sequence(timed, ...beats);
}
