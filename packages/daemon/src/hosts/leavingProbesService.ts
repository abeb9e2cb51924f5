import { ServiceToken } from "../kernel/serviceToken.js";
import type { LeavingProbes } from "./leavingProbes.js";

/** Whether pooled servers say that they are leaving. */
export const LEAVING_PROBES = new ServiceToken<LeavingProbes>("leavingProbes");
