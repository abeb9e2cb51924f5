import { DaemonSettings } from "./daemonSettings.js";
import { SETTING_GROUPS } from "./settingGroups.js";

/** A setting with its place and its check. */
type ListedSetting = {
    /** Name of its group; `undefined` for the daemon's own. */
    readonly group: keyof typeof SETTING_GROUPS | undefined;
    readonly name: string;
    /** Name from which its flag and variable are made, such as `meshChunkBytes`. */
    readonly fullName: string;
};

/** Every setting of the daemon, its own first. */
export function listSettings(): readonly ListedSetting[] {
    const own = Object.keys(DaemonSettings.shape).map(name => ({ group: undefined, name, fullName: name }));
    const grouped = Object.entries(SETTING_GROUPS).flatMap(([group, schema]) =>
        Object.keys(schema.shape).map(name => ({
            group: group as keyof typeof SETTING_GROUPS,
            name,
            fullName: group + name[0]!.toUpperCase() + name.slice(1),
        }))
    );
    return [...own, ...grouped];
}
