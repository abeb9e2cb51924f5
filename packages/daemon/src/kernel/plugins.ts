import { Registry } from "@arbutusdoor/common";
import type { Plugin } from "./plugin.js";

/** Makers of the daemon's plug-ins; each module of a plug-in registers its own when it is loaded. */
export const plugins = new Registry<{ readonly name: string; readonly createPlugin: () => Plugin; }>();
