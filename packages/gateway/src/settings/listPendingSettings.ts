import type { HostSettings } from "./hostSettings.js";
import type { PendingSetting } from "./pendingSetting.js";

const START_SETTINGS = [
    "host",
    "ip",
    "dataCentre",
    "callerAddress",
    "readinessAddress",
    "linkPort",
    "processorCores",
] as const satisfies readonly (keyof HostSettings)[];

/** Returns the settings of the file that differ from those in effect and are read only when the process starts. */
export function listPendingSettings(inEffect: HostSettings, file: HostSettings): readonly PendingSetting[] {
    const pending: PendingSetting[] = START_SETTINGS.filter(name => inEffect[name] !== file[name]);
    return inEffect.bounds.maxHoldMs === file.bounds.maxHoldMs ? pending : [...pending, "maxHoldMs"];
}
