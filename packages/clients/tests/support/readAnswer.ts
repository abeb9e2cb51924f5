import type { BackendAnswer } from "@arbutusdoor/clients";
import { text } from "node:stream/consumers";

/** Returns an answer with its body as text (`broken: ...` if it failed), or any other outcome unchanged. */
export async function readAnswer(answer: BackendAnswer): Promise<unknown> {
    if (answer.kind !== "answered") {
        return answer;
    }
    const body = await text(answer.body).catch((error: Error) => `broken: ${error.message}`);
    return { status: answer.status, headers: answer.headers, body };
}
