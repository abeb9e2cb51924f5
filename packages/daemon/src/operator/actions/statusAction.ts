import { OperatorAction } from "../operatorAction.js";
import { operatorActions } from "../operatorActions.js";
import type { OperatorContext } from "../operatorContext.js";
import type { OperatorReply } from "../operatorReply.js";

/** Returns the status of the system as seen by this host. */
export class StatusAction extends OperatorAction {
    override readonly name = "status";
    override readonly method = "GET";
    override readonly path = "/v1/status";

    override async run(context: OperatorContext): Promise<OperatorReply> {
        return { kind: "answer", body: await context.getStatus() };
    }
}

operatorActions.register(new StatusAction());
