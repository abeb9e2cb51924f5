import { ServiceToken } from "../kernel/serviceToken.js";
import type { LoadTracker } from "./loadTracker.js";

/** Load of keyed services as this host knows it. */
export const LOAD_TRACKER = new ServiceToken<LoadTracker>("loadBook");
