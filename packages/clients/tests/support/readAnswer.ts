import type { BackendAnswer } from "@arbutusdoor/clients";
import { text } from "node:stream/consumers";

/** An answer with its body as text, `broken: ...` when it broke off; any other outcome as it is. */
export async function readAnswer(answer: BackendAnswer): Promise<unknown> {
    if (answer.kind !== "answered") {
        return answer;
    }
    const body = await text(answer.body).catch((error: Error) => `broken: ${error.message}`);
    return { status: answer.status, headers: answer.headers, body };
}
