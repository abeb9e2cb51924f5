import type * as z from "zod";

/** Parses bytes as JSON of a schema, with null as `undefined`. Returns `undefined` when they are invalid. */
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
