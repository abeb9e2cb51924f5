import {
    checkDeclaration,
    type Declaration,
    type DiffAnswer,
    diffDeclarations,
    DiffRequest,
} from "@arbutusdoor/configuration";
import { createMalformedReply } from "../createMalformedReply.js";
import { createSubmitReply } from "../createSubmitReply.js";
import { OperatorAction } from "../operatorAction.js";
import { operatorActions } from "../operatorActions.js";
import type { OperatorContext } from "../operatorContext.js";
import type { OperatorReply } from "../operatorReply.js";
import type { OperatorRequest } from "../operatorRequest.js";

/** Compares a declaration with the one in force; before the first configuration, everything counts as added. */
export class DiffAction extends OperatorAction {
    override readonly name = "diff";
    override readonly method = "POST";
    override readonly path = "/v1/diff";

    override async run(context: OperatorContext, request: OperatorRequest): Promise<OperatorReply> {
        const parsed = DiffRequest.safeParse(request.body);
        if (!parsed.success) {
            return createMalformedReply(parsed.error);
        }
        const check = checkDeclaration(parsed.data.declaration);
        if (check.kind === "invalid") {
            return createSubmitReply({ kind: "invalid", problems: [...check.problems] });
        }
        const current = context.getConfiguration();
        const from = current?.declaration ?? createEmptyDeclaration(check.declaration.tenant);
        const differences = diffDeclarations(from, check.declaration);
        const body: DiffAnswer = { version: current?.version ?? 0, differences };
        return { kind: "answer", body };
    }
}

function createEmptyDeclaration(tenant: string): Declaration {
    return { format: 1, tenant, dataCentres: [], services: [], servers: [] };
}

operatorActions.register(new DiffAction());
