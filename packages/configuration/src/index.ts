export * from "./configurationVersion.js";
export * from "./declaration/declaration.js";
export * from "./declaration/names.js";
export * from "./declaration/objective.js";
export * from "./declaration/requestClass.js";
export * from "./declaration/route.js";
export * from "./declaration/server.js";
export * from "./declaration/service.js";
