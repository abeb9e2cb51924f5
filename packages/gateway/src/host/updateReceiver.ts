import type { ServiceId } from "@arbutusdoor/common";
import type { CoordinatorCurrency } from "../links/coordinatorCurrency.js";
import type { CoordinatorMessage } from "../links/coordinatorMessage.js";
import type { HostCount } from "../links/hostCount.js";
import type { KnownVersions } from "../links/knownVersions.js";
import type { KeyRouting } from "../routing/keyRouting.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import type { ClusterState } from "./clusterState.js";

/** Dependencies of a receiver. */
type ReceiverParts = {
    readonly state: ClusterState;
    readonly keys: KeyRouting;
    readonly currency: CoordinatorCurrency;
    readonly hosts: HostCount;
    readonly overload: OverloadControl;
    /** Closes the link to the coordinator; the first report on the next one says what this host knows. */
    readonly disconnect: () => void;
};

/** Applies the coordinator's messages to what this host knows. */
export class UpdateReceiver {
    private readonly parts: ReceiverParts;
    /** Whether the next link starts with all tables, since changes could not be applied. */
    private wantsEverything = false;

    constructor(parts: ReceiverParts) {
        this.parts = parts;
    }

    /** Applies a message; disconnects when earlier changes are missing. */
    handle(message: CoordinatorMessage): void {
        const { currency, disconnect, hosts, keys, overload, state } = this.parts;
        if (message.kind === "rows") {
            if (!state.handleRows(message)) {
                this.wantsEverything = true;
                disconnect();
            }
        }
        else if (message.kind === "keys") {
            if (!state.handleKeys(message)) {
                disconnect();
            }
        }
        else if (message.kind === "held") {
            keys.recordHeld(message.service as ServiceId, message.ranges);
        }
        else {
            currency.handleHeartbeat(message, state.era.record(message.era));
            hosts.record(Math.max(1, message.hosts));
            state.handleHeartbeat(message);
            overload.handleHeartbeat(message);
        }
    }

    /** Returns what the first report on a link says that this host knows; `undefined` when it wants everything. */
    takeKnownVersions(): KnownVersions | undefined {
        const known = this.wantsEverything ? undefined : this.parts.state.getKnownVersions();
        this.wantsEverything = false;
        return known;
    }
}
