import { DaemonSettings } from "./daemonSettings.js";
import { SETTING_GROUPS } from "./settingGroups.js";

/** A setting with its group and its names. */
type ListedSetting = {
    /** Name of its group; `undefined` for a setting of the daemon itself. */
    readonly group: keyof typeof SETTING_GROUPS | undefined;
    readonly name: string;
    /** Name from which its flag and variable are derived, such as `meshChunkBytes`. */
    readonly fullName: string;
};

/** Lists every setting of the daemon, those without a group first. */
export function listSettings(): readonly ListedSetting[] {
    const ungrouped = Object.keys(DaemonSettings.shape).map(name => ({
        group: undefined,
        name,
        fullName: name,
    }));
    const grouped = Object.entries(SETTING_GROUPS).flatMap(([group, schema]) =>
        Object.keys(schema.shape).map(name => ({
            group: group as keyof typeof SETTING_GROUPS,
            name,
            fullName: group + name[0]!.toUpperCase() + name.slice(1),
        }))
    );
    return [...ungrouped, ...grouped];
}
