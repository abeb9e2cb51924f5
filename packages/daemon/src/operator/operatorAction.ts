import type { OperatorContext } from "./operatorContext.js";
import type { OperatorReply } from "./operatorReply.js";
import type { OperatorRequest } from "./operatorRequest.js";

/** One call of the operators' port. Each has its own file, which registers it in `operatorActions`. */
export abstract class OperatorAction {
    /** Unique name. */
    abstract readonly name: string;
    abstract readonly method: "GET" | "POST";
    abstract readonly path: string;

    /** Runs the call. A rejection is a fault of the daemon and is answered with status 500. */
    abstract run(context: OperatorContext, request: OperatorRequest): Promise<OperatorReply>;
}
