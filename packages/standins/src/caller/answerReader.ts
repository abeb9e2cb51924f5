const EMPTY_LINE = "\r\n\r\n";
const FIRST_FINAL = 200;

/** An answer with its whole body. */
type Answer = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
};

/** Reads answers with a length off the bytes of one connection. */
export class AnswerReader {
    private received = Buffer.alloc(0);

    /** Whether a part of an answer has come. */
    get isWithinAnswer(): boolean {
        return this.received.length > 0;
    }

    /** Takes bytes; returns the answers that they complete. Throws on bytes that are no answer. */
    read(bytes: Buffer): readonly Answer[] {
        this.received = Buffer.concat([this.received, bytes]);
        const answers: Answer[] = [];
        for (let next = this.take(); next; next = this.take()) {
            if (next.status >= FIRST_FINAL) {
                answers.push(next);
            }
        }
        return answers;
    }

    private take(): Answer | undefined {
        const end = this.received.indexOf(EMPTY_LINE);
        if (end < 0) {
            return undefined;
        }
        const [statusLine, ...fields] = this.received.subarray(0, end).toString("latin1").split("\r\n");
        const headers = Object.fromEntries(fields.map(field => {
            const [name] = field.split(":", 1);
            return [name!.toLowerCase(), field.slice(name!.length + 1).trim()];
        }));
        const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(statusLine!)?.[1]);
        const length = status < FIRST_FINAL ? 0 : Number(headers["content-length"]);
        if (Number.isNaN(status + length)) {
            throw new Error(
                `an answer without a status or a length: ${statusLine} ${JSON.stringify(headers)}`,
            );
        }
        const from = end + EMPTY_LINE.length;
        if (this.received.length < from + length) {
            return undefined;
        }
        const body = this.received.subarray(from, from + length);
        this.received = this.received.subarray(from + length);
        return { status, headers, body };
    }
}
