import { OperatorAction } from "../operatorAction.js";
import { operatorActions } from "../operatorActions.js";
import type { OperatorContext } from "../operatorContext.js";
import type { OperatorReply } from "../operatorReply.js";
import type { OperatorRequest } from "../operatorRequest.js";

/** Explains where a key is and why. */
export class ExplainAction extends OperatorAction {
    override readonly name = "explain";
    override readonly method = "GET";
    override readonly path = "/v1/explain";

    override async run(context: OperatorContext, request: OperatorRequest): Promise<OperatorReply> {
        const service = request.query.get("service");
        const key = request.query.get("key");
        if (!service || !key) {
            const detail = "the query needs service and key";
            return { kind: "problem", status: 400, title: "malformed call", detail };
        }
        const explanation = await context.explain(service, key);
        switch (explanation.kind) {
            case "unknownService": {
                const detail = `service "${service}" is not declared`;
                return {
                    kind: "problem",
                    status: 404,
                    title: "unknown service",
                    detail,
                    members: explanation,
                };
            }
            case "unavailable": {
                const detail = explanation.reason;
                const title = "this host cannot say where the key is";
                return { kind: "problem", status: 503, title, detail, members: explanation };
            }
            case "keyed":
            case "pooled":
                return { kind: "answer", body: explanation };
        }
    }
}

operatorActions.register(new ExplainAction());
