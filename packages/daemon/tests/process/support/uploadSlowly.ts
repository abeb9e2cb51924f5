import { createHash } from "node:crypto";
import * as z from "zod";

const Echo = z.object({ path: z.string(), bodyBytes: z.int(), bodySha256: z.string() });

/** Sends an upload in pieces with pauses in between; returns how it ended and whether the answer reports all its bytes. */
export async function uploadSlowly(
    entryHost: string,
    path: string,
    { pieces, pieceBytes, pauseMs }: { pieces: number; pieceBytes: number; pauseMs: number; },
): Promise<string> {
    const piece = Buffer.alloc(pieceBytes, "log");
    const hash = createHash("sha256");
    async function* send() {
        for (let index = 0; index < pieces; index++) {
            hash.update(piece);
            yield piece;
            await new Promise(resolve => setTimeout(resolve, pauseMs));
        }
    }
    const body = ReadableStream.from(send());
    try {
        const init = { method: "PUT", body, duplex: "half" } as RequestInit;
        const response = await fetch(`http://${entryHost}${path}`, init);
        const outcome = response.headers.get("arbutusdoor-outcome") ?? "none";
        const reason = response.headers.get("arbutusdoor-reason");
        if (outcome !== "answered") {
            return `${outcome} (${reason})`;
        }
        const echo = Echo.parse(await response.json());
        const isOwn = echo.path === path && echo.bodyBytes === pieces * pieceBytes
            && echo.bodySha256 === hash.digest("hex");
        return isOwn ? "answered" : "answered wrongly";
    }
    catch (error) {
        return `cut off: ${String(error)}`;
    }
}
