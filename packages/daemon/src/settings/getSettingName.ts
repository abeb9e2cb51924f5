import type { SettingName } from "./settingName.js";

/** Returns the flag and the environment variable of a setting. */
export function getSettingName(setting: string): SettingName {
    const words = setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
    return {
        flag: `--${words}`,
        variable: `ARBUTUSDOOR_${words.replaceAll("-", "_").toUpperCase()}`,
    };
}
