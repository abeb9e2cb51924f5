import { InputError } from "@arbutusdoor/common";
import { DaemonSettings } from "./daemonSettings.js";
import { getSettingName } from "./getSettingName.js";
import { listSettings } from "./listSettings.js";
import { SECRET_SETTINGS } from "./secretSettings.js";
import { SETTING_GROUPS } from "./settingGroups.js";
import type { Settings } from "./settings.js";

type RawValues = Readonly<Record<string, unknown>>;
type Environment = Readonly<Record<string, string | undefined>>;
type GroupName = keyof typeof SETTING_GROUPS;
type Issue = { readonly path: readonly PropertyKey[]; readonly message: string; };

/**
 * Reads the settings; a flag takes precedence over its environment variable.
 * @param flags flags by full setting name, such as `callerPort`
 * @throws InputError that names every invalid setting with its flag and variable, and never contains a secret's value
 */
export function readSettings(flags: RawValues, environment: Environment): Settings {
    const known = new Set(listSettings().map(setting => setting.fullName));
    const problems = Object.keys(flags)
        .filter(flag => !known.has(flag))
        .map(flag => `${getSettingName(flag).flag}: no such setting`);
    const ungrouped = collect(undefined, flags, environment);
    const result = DaemonSettings.safeParse(ungrouped);
    problems.push(...getProblems(result.error?.issues ?? [], undefined, ungrouped));
    const groups: Record<string, unknown> = {};
    for (const [group, schema] of Object.entries(SETTING_GROUPS)) {
        const raw = collect(group as GroupName, flags, environment);
        const parsed = schema.safeParse(raw);
        groups[group] = parsed.data;
        problems.push(...getProblems(parsed.error?.issues ?? [], group as GroupName, raw));
    }
    if (problems.length > 0 || !result.success) {
        throw new InputError(
            `settings cannot be taken:\n${problems.map(problem => `  ${problem}`).join("\n")}`,
        );
    }
    return { ...result.data, groups: groups as Settings["groups"] };
}

function collect(group: GroupName | undefined, flags: RawValues, environment: Environment): RawValues {
    const values: Record<string, unknown> = {};
    for (const setting of listSettings().filter(other => other.group === group)) {
        const { variable } = getSettingName(setting.fullName);
        const isSecret = SECRET_SETTINGS.has(setting.fullName);
        const value = isSecret ? environment[variable] : flags[setting.fullName] ?? environment[variable];
        if (value !== undefined) {
            values[setting.name] = group === undefined ? value : toPlainValue(value);
        }
    }
    return values;
}

/** Flags and variables are strings, while the settings of groups are numbers and booleans, except for a few names. */
function toPlainValue(value: unknown): unknown {
    if (value === "true" || value === "false") {
        return value === "true";
    }
    const isNumber = typeof value === "string" && value.trim() !== "" && Number.isFinite(Number(value));
    return isNumber ? Number(value) : value;
}

function getProblems(issues: readonly Issue[], group: GroupName | undefined, raw: RawValues): string[] {
    return issues.map(issue => {
        const name = String(issue.path[0]);
        const setting = listSettings().find(other => other.group === group && other.name === name);
        const { flag, variable } = getSettingName(setting?.fullName ?? name);
        const names = SECRET_SETTINGS.has(name) ? variable : `${flag} (${variable})`;
        return `${names}: ${raw[name] === undefined ? "is required" : issue.message}`;
    });
}
