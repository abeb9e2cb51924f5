import type { Readable } from "node:stream";

const MAX_LINE_LENGTH = 1_048_576;

/** Yields the lines of a UTF-8 stream without their line ends. Throws when the stream breaks off or a line exceeds 1 Mi characters. */
export async function* readLines(stream: Readable): AsyncGenerator<string> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of stream as AsyncIterable<Uint8Array>) {
        const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        if (rest.length > MAX_LINE_LENGTH) {
            throw new RangeError("a line is too long");
        }
        yield* lines;
    }
}
