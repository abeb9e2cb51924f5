import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { KeyRouting } from "../routing/keyRouting.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import type { PoolRouting } from "../routing/poolRouting.js";
import type { RequestState } from "./requestState.js";
import { waitForRoom } from "./waitForRoom.js";

/** Longest wait for the next owner of a key; a move takes as long as the work that is running on the key. */
const OWNER_WAIT_MS = 700;
/** Delay before a retry at the owner of a key that was out of capacity or did not hold the key yet. */
const OWNER_RETRY_MS = 60;

/** Dependencies of the selector. */
type SelectorParts = {
    readonly clock: Clock;
    readonly keys: KeyRouting;
    readonly pools: PoolRouting;
    readonly overload: OverloadControl;
};

/** Selects the servers to which requests are sent. */
export class ServerSelector {
    private readonly parts: SelectorParts;

    constructor(parts: SelectorParts) {
        this.parts = parts;
    }

    /**
     * Selects the server of the next attempt; waits a limited time for the new owner of a key that is moving. Returns `undefined` when no server
     * can get the request, and records why.
     */
    async select(state: RequestState): Promise<RegisteredServer | undefined> {
        const { service, key } = state.request;
        return service.isKeyed && key !== undefined
            ? await this.selectOwner(state, key)
            : this.selectPooled(state);
    }

    private selectPooled(state: RequestState): RegisteredServer | undefined {
        const { pools } = this.parts;
        const { route, service } = state.request;
        const server = pools.choose(service, state.excludedServers, {
            route: route.name,
            targetMs: route.objectiveMs,
            priority: route.priority,
            timeLeftMs: this.getTimeLeft(state),
            isIdempotent: route.isIdempotent,
        });
        recordQuietTime(state, server ? 0 : pools.getQuietTime(service.id));
        return server;
    }

    private async selectOwner(state: RequestState, key: number): Promise<RegisteredServer | undefined> {
        const { clock, keys, overload } = this.parts;
        const { request } = state;
        if (overload.isOn && state.lastFailure?.reason === "shed") {
            if (!await waitForRoom(state, key, this.parts)) {
                return undefined;
            }
        }
        else if (state.sends > 0) {
            await keys.waitForChange(Math.min(OWNER_RETRY_MS, this.getTimeLeft(state)));
        }
        const waitUntil = clock.now() + Math.min(OWNER_WAIT_MS, this.getTimeLeft(state) / 2);
        for (;;) {
            const lookup = keys.find(request.service.id, key);
            if (lookup.kind === "owner") {
                state.selectionFields = { fence: lookup.fence, ownerKnownMs: Math.round(lookup.knownMs) };
                recordQuietTime(state, 0);
                return lookup.server;
            }
            if (lookup.kind === "quiet" || lookup.kind === "cold") {
                recordQuietTime(
                    state,
                    lookup.timeLeft,
                    lookup.kind === "cold" ? "serverCold" : "serverQuiet",
                );
                return undefined;
            }
            const wait = waitUntil - clock.now();
            if (lookup.kind === "none" || wait <= 0 || request.callerGone.aborted) {
                const reason = lookup.kind === "moving" ? "keyMoving" : "keyUnowned";
                state.lastFailure ??= { reason, detail: "" };
                return undefined;
            }
            await keys.waitForChange(wait);
        }
    }

    private getTimeLeft({ request }: RequestState): Milliseconds {
        return request.deadlineAt - this.parts.clock.now();
    }
}

function recordQuietTime(state: RequestState, timeLeft: Milliseconds, reason = "serverQuiet"): void {
    state.quietTime = timeLeft > 0 ? timeLeft : undefined;
    if (timeLeft > 0) {
        state.lastFailure = { reason, detail: `for ${Math.round(timeLeft)} ms` };
    }
}
