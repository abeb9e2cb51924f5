import type { Logger } from "@arbutusdoor/common";
import type { HostSettings } from "../settings/hostSettings.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";

/** A host's settings in effect. Those that can change while the process runs are taken over from the changed file. */
export class LiveSettings {
    private readonly logger: Logger;
    private readonly adapters: Pick<GatewayAdapters, "moveStore">;
    private inEffect: HostSettings;

    constructor(settings: HostSettings, logger: Logger, adapters: Pick<GatewayAdapters, "moveStore">) {
        this.inEffect = settings;
        this.logger = logger;
        this.adapters = adapters;
    }

    /** The settings that are in effect now. */
    get current(): HostSettings {
        return this.inEffect;
    }

    /** Applies changed settings. The addresses and names of this host stay unchanged until it restarts. */
    apply({ bounds, storeAddress }: HostSettings): void {
        const before = this.inEffect.storeAddress;
        this.inEffect = { ...this.inEffect, bounds, storeAddress };
        if (storeAddress !== before) {
            this.logger.log("storeAddressChanged", { before, address: storeAddress });
            this.adapters.moveStore(storeAddress);
        }
    }
}
