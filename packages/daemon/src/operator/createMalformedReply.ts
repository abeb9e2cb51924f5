import type * as z from "zod";
import type { OperatorReply } from "./operatorReply.js";

/** Creates the reply to a call whose body has the wrong shape. */
export function createMalformedReply(error: z.ZodError): OperatorReply {
    const details = error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
    return { kind: "problem", status: 400, title: "malformed call", detail: details.join("; ") };
}
