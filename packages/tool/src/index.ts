export * from "./exitCodes.js";
export * from "./runTool.js";
export * from "./surroundings.js";
export * from "./terminal/processTerminal.js";
export * from "./terminal/terminal.js";
