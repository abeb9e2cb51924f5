import { Service } from "../kernel/service.js";
import type { RequestRouter } from "../routing/requestRouter.js";

/** Routes the requests of callers. */
export const ROUTER = new Service<RequestRouter>("router");
