import type { z } from "zod";

/** Reads bytes as JSON of a schema, JSON null as `undefined`; the result is `undefined` for anything else. */
export function parseJson<Value>(bytes: Uint8Array, schema: z.ZodType<Value>): Value | undefined {
    try {
        const text = Buffer.from(bytes).toString("utf8");
        const json: unknown = JSON.parse(text, (...[, value]: [string, unknown]) => value ?? undefined);
        return schema.safeParse(json).data;
    }
    catch {
        return undefined;
    }
}
