import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";
import { RequestRouter } from "./requestRouter.js";

/** Selects the router for keyed or pooled services. */
export class ServiceRouter extends RequestRouter {
    private readonly keyed: RequestRouter;
    private readonly pooled: RequestRouter;

    constructor(keyed: RequestRouter, pooled: RequestRouter) {
        super();
        this.keyed = keyed;
        this.pooled = pooled;
    }

    override route(request: CallerRequest): Promise<Answer> {
        return request.service.kind === "keyed" ? this.keyed.route(request) : this.pooled.route(request);
    }
}
