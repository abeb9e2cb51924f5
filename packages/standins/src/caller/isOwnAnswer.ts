import { createHash } from "node:crypto";
import * as z from "zod";
import type { Call } from "./call.js";

const echoSchema = z.object({
    method: z.string(),
    path: z.string(),
    bodyBytes: z.int(),
    bodySha256: z.string(),
});

/** Whether a whole answer is a backend server's stand-in's answer to a call: about its path, and about all bytes it sent. */
export function isOwnAnswer(
    call: Call,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    body: Buffer,
): boolean {
    const sha256 = headers["echo-sha256"];
    if (sha256 !== undefined) {
        return headers["echo-path"] === call.path && sha256 === getSha256(body);
    }
    try {
        const json: unknown = JSON.parse(body.toString("utf8"));
        const echo = echoSchema.parse(json);
        const sent = call.body ?? Buffer.alloc(0);
        return echo.path === call.path && echo.method === call.method && echo.bodyBytes === sent.length
            && echo.bodySha256 === getSha256(sent);
    }
    catch {
        return false;
    }
}

function getSha256(bytes: Buffer): string {
    return createHash("sha256").update(bytes).digest("hex");
}
