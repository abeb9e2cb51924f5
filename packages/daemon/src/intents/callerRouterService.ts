import { ServiceToken } from "../kernel/serviceToken.js";
import type { RequestRouter } from "../routing/requestRouter.js";

/** Routes the requests of callers; runs once-only work at most once. */
export const CALLER_ROUTER = new ServiceToken<RequestRouter>("callerRouter");
