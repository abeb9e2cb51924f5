export * from "./operatorContext.js";
export * from "./operatorServer.js";
export * from "./operatorServerOptions.js";
export * from "./operatorSettings.js";
