import type { WatchedRow } from "../store/watchedRow.js";
import type { KeyMap } from "./keyMap.js";

/** Maps kept of each service: about 6 s of commits, longer than hosts take to find a new coordinator. */
const MAX_VERSIONS = 16;
const MAX_SERVICES = 256;

/** The latest committed maps of each service, to tell hosts what has changed since the version that they know. */
export class MapHistory {
    /** Maps by version, oldest first. */
    private readonly services = new Map<string, Map<number, KeyMap>>();

    /** Records a committed map. */
    record({ content, key, version }: WatchedRow<KeyMap>): void {
        if (content.kind !== "value" || (!this.services.has(key) && this.services.size >= MAX_SERVICES)) {
            return;
        }
        const versions = this.services.get(key) ?? new Map<number, KeyMap>();
        this.services.set(key, versions);
        versions.set(version, content.value);
        if (versions.size > MAX_VERSIONS) {
            versions.delete(versions.keys().next().value!);
        }
    }

    /** Forgets all maps: a restored store gives versions out again. */
    clear(): void {
        this.services.clear();
    }

    /** Returns the map of a service at a version, or `undefined` when it is not kept. */
    find(service: string, version: number): KeyMap | undefined {
        return this.services.get(service)?.get(version);
    }
}
