export * from "./experiments/benchOptions.js";
export * from "./experiments/experimentResult.js";
export * from "./report/formatReport.js";
export * from "./runBench.js";
