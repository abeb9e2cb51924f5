import { AttestRequest } from "@arbutusdoor/configuration";
import { createMalformedReply } from "../createMalformedReply.js";
import { OperatorAction } from "../operatorAction.js";
import { operatorActions } from "../operatorActions.js";
import type { OperatorContext } from "../operatorContext.js";
import type { OperatorReply } from "../operatorReply.js";
import type { OperatorRequest } from "../operatorRequest.js";

/** Records an operator's attestation that an incarnation of a server or host, or a data centre, is lost. */
export class AttestLostAction extends OperatorAction {
    override readonly name = "attestLost";
    override readonly method = "POST";
    override readonly path = "/v1/attest-lost";

    override async run(context: OperatorContext, request: OperatorRequest): Promise<OperatorReply> {
        const parsed = AttestRequest.safeParse(request.body);
        if (!parsed.success) {
            return createMalformedReply(parsed.error);
        }
        const outcome = await context.attestLost(parsed.data);
        switch (outcome.kind) {
            case "recorded":
                return { kind: "answer", body: outcome };
            case "notRun": {
                const title = "the loss was not recorded";
                return { kind: "problem", status: 503, title, detail: outcome.reason, members: outcome };
            }
            case "unknown": {
                const title = "whether the loss was recorded is unknown";
                return { kind: "problem", status: 504, title, detail: outcome.reason, members: outcome };
            }
        }
    }
}

operatorActions.register(new AttestLostAction());
