import { type ConfigurationVersion, DrainRequest, drainServer } from "@arbutusdoor/configuration";
import { createMalformedReply } from "../createMalformedReply.js";
import { createSubmitReply } from "../createSubmitReply.js";
import { OperatorAction } from "../operatorAction.js";
import { operatorActions } from "../operatorActions.js";
import type { OperatorContext } from "../operatorContext.js";
import type { OperatorReply } from "../operatorReply.js";
import type { OperatorRequest } from "../operatorRequest.js";

/** Marks a server as draining, based on the version that the operator has seen, and submits the result. */
export class DrainAction extends OperatorAction {
    override readonly name = "drain";
    override readonly method = "POST";
    override readonly path = "/v1/drain";

    override async run(context: OperatorContext, request: OperatorRequest): Promise<OperatorReply> {
        const parsed = DrainRequest.safeParse(request.body);
        if (!parsed.success) {
            return createMalformedReply(parsed.error);
        }
        const current = context.getConfiguration();
        if (!current) {
            return createSubmitReply({ kind: "notRun", reason: "no configuration is in force on this host" });
        }
        return this.drain(parsed.data, current, context);
    }

    private async drain(
        { server, base, operationId }: DrainRequest,
        current: ConfigurationVersion,
        context: OperatorContext,
    ): Promise<OperatorReply> {
        const change = drainServer(current.declaration, server);
        switch (change.kind) {
            case "unknownServer": {
                const problems = [{ path: "server", message: `server "${server}" is not declared` }];
                return createSubmitReply({ kind: "invalid", problems });
            }
            case "alreadyDraining":
                return createSubmitReply({ kind: "accepted", version: current.version });
            case "changed": {
                if (base !== current.version) {
                    const { version } = current;
                    return createSubmitReply({ kind: "conflict", currentVersion: version, differences: [] });
                }
                return createSubmitReply(await context.submit(base, change.declaration, operationId));
            }
        }
    }
}

operatorActions.register(new DrainAction());
