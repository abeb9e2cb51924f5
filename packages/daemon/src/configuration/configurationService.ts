import { Service } from "../kernel/service.js";
import type { ConfigurationSpread } from "./configurationSpread.js";

/** The configuration in force and what is known of it on other hosts. */
export const CONFIGURATION = new Service<ConfigurationSpread>("configuration");
