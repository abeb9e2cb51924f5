import { writeFileSync } from "node:fs";
import { newLogsPage } from "./newLogsPage.js";
import { newSettingsPage } from "./newSettingsPage.js";

const DOCS = new URL("../docs/", import.meta.url);

writeFileSync(new URL("SETTINGS.md", DOCS), newSettingsPage());
writeFileSync(new URL("LOGS.md", DOCS), newLogsPage());
