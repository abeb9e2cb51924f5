import { Service } from "../kernel/service.js";
import type { ListedHosts } from "./listedHosts.js";

/** The platform's host list as last read. */
export const LISTED_HOSTS = new Service<ListedHosts>("hosts");
