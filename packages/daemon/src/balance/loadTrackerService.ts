import { ServiceToken } from "../kernel/serviceToken.js";
import type { LoadTracker } from "./loadTracker.js";

/** The load of keyed services as known to this host. */
export const LOAD_TRACKER = new ServiceToken<LoadTracker>("loadBook");
