import type { CallerRequest } from "../../src/entry/callerRequest.js";
import { RequestRouter } from "../../src/routing/requestRouter.js";
import type { Answer } from "../../src/serving/answer.js";

/** A router that answers as the test says, and keeps what it was asked. */
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
