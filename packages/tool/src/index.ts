export * from "./exitCodes.js";
export * from "./runtime.js";
export * from "./runTool.js";
export * from "./terminal/processTerminal.js";
export * from "./terminal/terminal.js";
