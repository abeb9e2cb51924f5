export * from "./intentRouter.js";
export * from "./intentSettings.js";
export * from "./intentStore.js";
export * from "./intentSweeper.js";
