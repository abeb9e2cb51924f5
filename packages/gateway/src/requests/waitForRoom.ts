import type { Clock } from "@arbutusdoor/common";
import type { KeyRouting } from "../routing/keyRouting.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import type { RequestState } from "./requestState.js";

/** Dependencies of the wait. */
type WaitParts = { readonly clock: Clock; readonly keys: KeyRouting; readonly overload: OverloadControl; };

/**
 * Waits until the owner that shed a request may have room, or the key has another owner. Returns false, at once, when no answer could come
 * in time after that.
 */
export async function waitForRoom(
    state: RequestState,
    key: number,
    { clock, keys, overload }: WaitParts,
): Promise<boolean> {
    const { consideredServer, request } = state;
    const delay = consideredServer && overload.getRepeatDelay(state, consideredServer);
    if (delay === undefined) {
        return false;
    }
    const until = clock.now() + delay;
    while (clock.now() < until && !request.callerGone.aborted) {
        const lookup = keys.find(request.service.id, key);
        if (lookup.kind === "owner" && lookup.server.id !== consideredServer?.id) {
            return true;
        }
        await keys.waitForChange(until - clock.now());
    }
    return true;
}
