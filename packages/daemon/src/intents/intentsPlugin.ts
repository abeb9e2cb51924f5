import type { ServiceId } from "@arbutusdoor/common";
import { CONFIGURATION } from "../configuration/configurationService.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { PEERS } from "../peers/peersService.js";
import { PLATFORM } from "../platform/platformServices.js";
import { ROUTER } from "../serving/routerService.js";
import { CALLER_ROUTER } from "./callerRouterService.js";
import { IntentRouter } from "./intentRouter.js";
import { IntentStore } from "./intentStore.js";
import { IntentSweeper } from "./intentSweeper.js";

/** Keeps once-only work from running twice when a caller repeats a request. */
export class IntentsPlugin extends Plugin {
    override readonly name = "intents";
    private store!: IntentStore;
    private sweeper!: IntentSweeper;

    override install(kernel: Kernel): void {
        const { clock, logger, metrics, random } = kernel;
        const settings = kernel.settings.groups.intent;
        const writer = kernel.get(PEERS).self.incarnation;
        const table = kernel.get(PLATFORM.TABLE);
        const options = { clock, logger, metrics, random, settings, table, writer };
        this.store = new IntentStore(options);
        this.sweeper = new IntentSweeper({ ...options, listServices: () => listSweptServices(kernel) });
        kernel.provide(CALLER_ROUTER, new IntentRouter(clock, this.store, settings, kernel.get(ROUTER)));
    }

    override async start(): Promise<void> {
        this.sweeper.start();
    }

    override drain(): Promise<void> {
        this.sweeper.stop();
        return this.store.drain();
    }

    /** Requests that were in flight when the drain began may have added outcomes to record. */
    override stop(): Promise<void> {
        return this.store.drain();
    }
}

/** Only the connected host with the lowest name sweeps; two sweeping hosts do no harm. */
function listSweptServices(kernel: Kernel): readonly ServiceId[] {
    const peers = kernel.get(PEERS);
    const isSweeper = peers.list().every(peer => peers.self.host < peer.host);
    const declaration = kernel.get(CONFIGURATION).current()?.declaration;
    return isSweeper ? (declaration?.services ?? []).map(service => service.name as ServiceId) : [];
}

plugins.register({ name: "intents", createPlugin: () => new IntentsPlugin() });
