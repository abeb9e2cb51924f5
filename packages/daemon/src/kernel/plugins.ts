import { Registry } from "@arbutusdoor/common";
import type { Plugin } from "./plugin.js";

/** Factories of the daemon's plug-ins; each plug-in's module registers its own when it is loaded. */
export const plugins = new Registry<{ readonly name: string; readonly createPlugin: () => Plugin; }>();
