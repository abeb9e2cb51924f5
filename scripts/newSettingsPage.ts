import { DaemonSettings } from "../packages/daemon/src/settings/daemonSettings.js";
import { getSettingName } from "../packages/daemon/src/settings/getSettingName.js";
import { listSettings } from "../packages/daemon/src/settings/listSettings.js";
import { SECRET_SETTINGS } from "../packages/daemon/src/settings/secretSettings.js";
import { SETTING_GROUPS } from "../packages/daemon/src/settings/settingGroups.js";

type Schema = { safeParse(value: unknown): { success: boolean; data?: unknown; }; description?: string; };

const HEAD = `# Settings of \`arbutusdoord\`

Each setting is a flag and an environment variable; the flag goes first. A wrong setting stops the daemon at once with the
name of its flag. Times are in milliseconds (names end in \`Ms\`), sizes in bytes (names end in \`Bytes\`). This page is
checked against the code by \`npm test\` and written by \`npm run docs\`.
`;

/** Text of docs/SETTINGS.md. */
export function newSettingsPage(): string {
    const rows = listSettings().map(({ group, name, fullName }) => {
        const shape = group === undefined ? DaemonSettings.shape : SETTING_GROUPS[group].shape;
        const schema = (shape as unknown as Record<string, Schema>)[name]!;
        const { flag, variable } = getSettingName(fullName);
        const flagCell = SECRET_SETTINGS.has(fullName) ? "environment only" : `\`${flag}\``;
        return `| ${flagCell} | \`${variable}\` | ${getDefault(schema)} | ${
            schema.description ?? getWords(name)
        } |`;
    });
    return `${HEAD}\n| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n${
        rows.join("\n")
    }\n`;
}

function getDefault(schema: Schema): string {
    const result = schema.safeParse(undefined);
    if (!result.success) {
        return "required";
    }
    return result.data === undefined ? "none" : `\`${JSON.stringify(result.data)}\``;
}

/** A setting without a description says what it is by its name. */
function getWords(name: string): string {
    return name
        .replace(/Ms$/, " in ms")
        .replace(/Bytes$/, " in bytes")
        .replace(/Ppm$/, " in parts per million")
        .replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
}
