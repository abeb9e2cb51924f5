import { ServiceToken } from "../kernel/serviceToken.js";
import type { RequestRouter } from "../routing/requestRouter.js";

/** Routes the requests of callers. */
export const ROUTER = new ServiceToken<RequestRouter>("router");
