import type { IncomingMessage } from "node:http";
import type * as z from "zod";
import { readBody } from "./readBody.js";

/** Reads a request's body as JSON of a schema; `undefined` for anything else. */
export async function readJson<Value>(
    request: IncomingMessage,
    schema: z.ZodType<Value>,
): Promise<Value | undefined> {
    const body = await readBody(request);
    if (!body) {
        return undefined;
    }
    try {
        const json: unknown = JSON.parse(body.toString("utf8"));
        return schema.safeParse(json).data;
    }
    catch {
        return undefined;
    }
}
