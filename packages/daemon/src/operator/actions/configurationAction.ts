import type { ConfigurationView } from "@arbutusdoor/configuration";
import { OperatorAction } from "../operatorAction.js";
import { operatorActions } from "../operatorActions.js";
import type { OperatorContext } from "../operatorContext.js";
import type { OperatorReply } from "../operatorReply.js";

/** Returns the configuration in force on this host. */
export class ConfigurationAction extends OperatorAction {
    override readonly name = "configuration";
    override readonly method = "GET";
    override readonly path = "/v1/configuration";

    override async run(context: OperatorContext): Promise<OperatorReply> {
        const current = context.getConfiguration();
        const body: ConfigurationView = {
            version: current?.version ?? 0,
            digest: current?.digest,
            declaration: current?.declaration,
        };
        return { kind: "answer", body };
    }
}

operatorActions.register(new ConfigurationAction());
