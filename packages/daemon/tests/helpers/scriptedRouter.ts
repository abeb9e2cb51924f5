import type { CallerRequest } from "../../src/entry/callerRequest.js";
import { RequestRouter } from "../../src/routing/requestRouter.js";
import type { Answer } from "../../src/serving/answer.js";

/** Router that answers by a script and records the requests. */
export class ScriptedRouter extends RequestRouter {
    readonly requests: CallerRequest[] = [];
    private readonly script: (request: CallerRequest) => Promise<Answer>;

    constructor(script: (request: CallerRequest) => Promise<Answer>) {
        super();
        this.script = script;
    }

    override route(request: CallerRequest): Promise<Answer> {
        this.requests.push(request);
        return this.script(request);
    }
}
