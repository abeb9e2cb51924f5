import { ServiceToken } from "../kernel/serviceToken.js";
import type { LeavingProbes } from "./leavingProbes.js";

/** What pooled servers say of themselves: whether they are leaving. */
export const LEAVING_PROBES = new ServiceToken<LeavingProbes>("leavingProbes");
