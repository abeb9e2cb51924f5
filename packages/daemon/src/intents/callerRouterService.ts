import { Service } from "../kernel/service.js";
import type { RequestRouter } from "../routing/requestRouter.js";

/** Routes the requests of callers, once-only work at most once. */
export const CALLER_ROUTER = new Service<RequestRouter>("callerRouter");
