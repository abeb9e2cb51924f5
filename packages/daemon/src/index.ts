export * from "./createDaemon.js";
export * from "./intents/intentSettings.js";
export * from "./intents/tableWriter.js";
export * from "./settings/readSettings.js";
export * from "./settings/settings.js";
