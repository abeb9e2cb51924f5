import { ServiceToken } from "../kernel/serviceToken.js";
import type { ConfigurationSync } from "./configurationSync.js";

/** The configuration in force, and the versions that other hosts have in force. */
export const CONFIGURATION = new ServiceToken<ConfigurationSync>("configuration");
