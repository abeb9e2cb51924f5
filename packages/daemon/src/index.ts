export * from "./newDaemon.js";
export * from "./settings/readSettings.js";
export * from "./settings/settings.js";
