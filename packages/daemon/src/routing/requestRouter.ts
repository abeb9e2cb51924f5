import type { CallerRequest } from "../entry/callerRequest.js";
import type { Answer } from "../serving/answer.js";

/** Routes a caller's request to a backend server and returns its answer, or a refusal with an accurate outcome. */
export abstract class RequestRouter {
    /** Never rejects. */
    abstract route(request: CallerRequest): Promise<Answer>;
}
