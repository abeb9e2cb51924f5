import { SubmitRequest } from "@arbutusdoor/configuration";
import { createMalformedReply } from "../createMalformedReply.js";
import { createSubmitReply } from "../createSubmitReply.js";
import { OperatorAction } from "../operatorAction.js";
import { operatorActions } from "../operatorActions.js";
import type { OperatorContext } from "../operatorContext.js";
import type { OperatorReply } from "../operatorReply.js";
import type { OperatorRequest } from "../operatorRequest.js";

/** Submits a declaration. */
export class SubmitAction extends OperatorAction {
    override readonly name = "submit";
    override readonly method = "POST";
    override readonly path = "/v1/configuration";

    override async run(context: OperatorContext, request: OperatorRequest): Promise<OperatorReply> {
        const parsed = SubmitRequest.safeParse(request.body);
        if (!parsed.success) {
            return createMalformedReply(parsed.error);
        }
        const { base, declaration, operationId } = parsed.data;
        return createSubmitReply(await context.submit(base, declaration, operationId));
    }
}

operatorActions.register(new SubmitAction());
