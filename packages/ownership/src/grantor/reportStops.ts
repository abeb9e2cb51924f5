import type { DataCentreId, Milliseconds, ServerId } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { getSlicePath } from "../lookups/getSlicePath.js";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";
import type { HostState } from "../state/hostState.js";

/**
 * Sends the coordinators the stop proofs that this host has of former holders: the server's acknowledgement, or, for a server that does not
 * check orders, that this host sends it nothing more. Repeated until the rows drop the holders.
 */
export function reportStops(state: HostState, server: ServerId, now: Milliseconds): Step {
    const row = state.servers[server]?.value;
    const grant = state.grants[server];
    if (!row || !grant) {
        return { state, effects: [] };
    }
    const messages: { readonly message: OwnershipMessage; readonly home: DataCentreId; }[] = [];
    for (const slice of state.slices[row.service]?.byHolder[server] ?? []) {
        for (const former of slice.former) {
            const path = getSlicePath(row.service, former.slice);
            const isHere = former.server === server && former.incarnation === grant.incarnation;
            const isStopped = (grant.fenced[path] ?? 0) >= former.fence;
            const isIdle = (state.inFlight[server]?.[path] ?? 0) === 0;
            const by = row.checksOrders ? "server" : "grantor";
            if (isHere && former.epoch === row.epoch && (row.checksOrders ? isStopped : isIdle)) {
                const { incarnation, fence } = former;
                const message: OwnershipMessage = {
                    kind: "sliceStopped",
                    service: row.service,
                    slice: former.slice,
                    fence,
                    server,
                    incarnation,
                    by,
                };
                messages.push({ message, home: slice.home });
            }
        }
    }
    return sequence(
        state,
        ...messages.map(({ message, home }) => (current: HostState) =>
            sendToCoordinator(current, home, message, now)
        ),
    );
}

function sendToCoordinator(
    state: HostState,
    home: DataCentreId,
    message: OwnershipMessage,
    now: Milliseconds,
): Step {
    const coordinator = state.coordinators[home];
    return coordinator ? sendTo(state, coordinator.identity.host, message, now) : { state, effects: [] };
}
