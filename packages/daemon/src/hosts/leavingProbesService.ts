import { Service } from "../kernel/service.js";
import type { LeavingProbes } from "./leavingProbes.js";

/** What pooled servers say of themselves: whether they are leaving. */
export const LEAVING_PROBES = new Service<LeavingProbes>("leavingProbes");
