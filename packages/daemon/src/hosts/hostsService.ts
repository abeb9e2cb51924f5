import { ServiceToken } from "../kernel/serviceToken.js";
import type { ListedHosts } from "./listedHosts.js";

/** The platform's host list as last read. */
export const LISTED_HOSTS = new ServiceToken<ListedHosts>("hosts");
