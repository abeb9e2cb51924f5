import { InputError } from "@arbutusdoor/common";
import { DaemonSettings } from "./daemonSettings.js";
import { getSettingName } from "./getSettingName.js";
import { SECRET_SETTINGS } from "./secretSettings.js";

/**
 * Reads the settings; a flag goes before its environment variable.
 * @param flags flags by setting name
 * @throws InputError that names every wrong setting with its flag and variable, and never a secret's value
 */
export function readSettings(
    flags: Readonly<Record<string, unknown>>,
    environment: Readonly<Record<string, string | undefined>>,
): DaemonSettings {
    const raw: Record<string, unknown> = {};
    for (const setting of Object.keys(DaemonSettings.shape)) {
        const value = getRawValue(setting, flags, environment);
        if (value !== undefined) {
            raw[setting] = value;
        }
    }
    const unknown = Object.keys(flags).filter(flag => !(flag in DaemonSettings.shape));
    const result = DaemonSettings.safeParse(raw);
    const problems = unknown.map(flag => `${getSettingName(flag).flag}: no such setting`);
    for (const issue of result.error?.issues ?? []) {
        const setting = String(issue.path[0]);
        const { flag, variable } = getSettingName(setting);
        const isMissing = raw[setting] === undefined;
        const names = SECRET_SETTINGS.has(setting) ? variable : `${flag} (${variable})`;
        problems.push(`${names}: ${isMissing ? "is required" : issue.message}`);
    }
    if (problems.length > 0 || !result.success) {
        throw new InputError(`settings cannot be taken:\n${problems.map(problem => `  ${problem}`).join("\n")}`);
    }
    return result.data;
}

function getRawValue(
    setting: string,
    flags: Readonly<Record<string, unknown>>,
    environment: Readonly<Record<string, string | undefined>>,
): unknown {
    const { variable } = getSettingName(setting);
    if (SECRET_SETTINGS.has(setting)) {
        return environment[variable];
    }
    return flags[setting] ?? environment[variable];
}
