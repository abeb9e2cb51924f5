import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";

/** Takes a caller's request to a backend server and brings back its answer or a true refusal. */
export abstract class RequestRouter {
    /** Never rejects. */
    abstract route(request: CallerRequest): Promise<Answer>;
}
