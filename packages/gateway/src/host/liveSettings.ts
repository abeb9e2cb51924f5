import type { Logger } from "@arbutusdoor/common";
import type { HostSettings } from "../settings/hostSettings.js";
import { listPendingSettings } from "../settings/listPendingSettings.js";
import type { PendingSetting } from "../settings/pendingSetting.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";

/** A host's settings in effect. Those that can change while the process runs are taken over from the changed file. */
export class LiveSettings {
    private readonly logger: Logger;
    private readonly adapters: Pick<GatewayAdapters, "moveStore">;
    private readonly initial: HostSettings;
    private inEffect: HostSettings;

    constructor(settings: HostSettings, logger: Logger, adapters: Pick<GatewayAdapters, "moveStore">) {
        this.initial = settings;
        this.inEffect = settings;
        this.logger = logger;
        this.adapters = adapters;
    }

    /** The settings that are in effect now. */
    get current(): HostSettings {
        return this.inEffect;
    }

    /**
     * Applies changed settings: the address of the store, and the bounds except for the longest grant. Returns the changed ones that have no
     * effect before this host restarts.
     */
    apply(settings: HostSettings): readonly PendingSetting[] {
        const { bounds, storeAddress } = settings;
        const before = this.inEffect.storeAddress;
        this.inEffect = { ...this.inEffect, bounds, storeAddress };
        if (storeAddress !== before) {
            this.logger.log("storeAddressChanged", { before, address: storeAddress });
            this.adapters.moveStore(storeAddress);
        }
        return listPendingSettings(this.initial, settings);
    }
}
