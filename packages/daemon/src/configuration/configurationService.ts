import { ServiceToken } from "../kernel/serviceToken.js";
import type { ConfigurationSync } from "./configurationSync.js";

/** The configuration in force and what is known of it on other hosts. */
export const CONFIGURATION = new ServiceToken<ConfigurationSync>("configuration");
