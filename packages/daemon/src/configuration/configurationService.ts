import { Service } from "../kernel/service.js";
import type { ConfigurationSync } from "./configurationSync.js";

/** The configuration in force and what is known of it on other hosts. */
export const CONFIGURATION = new Service<ConfigurationSync>("configuration");
