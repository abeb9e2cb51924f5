import type { Clock } from "@arbutusdoor/common";
import { type Call, type CallerEntry, type CallerProtocol, isOwnAnswer } from "@arbutusdoor/standins";
import { connect } from "node:net";

const UNFINISHED_HEAD = "GET /unfinished HTTP/1.1\r\nHost: unfinis";
const EMPTY_LINE = "\r\n\r\n";

/** Where and how a call is sent. */
type Destination = {
    readonly clock: Clock;
    readonly entryHost: string;
    readonly protocol: CallerProtocol;
    readonly timeoutMs: number;
};

/** Sends a call and, behind it on the same connection, the beginning of a further head. Never rejects. */
export async function sendWithUnfinishedHead(call: Call, to: Destination): Promise<CallerEntry> {
    const { clock, entryHost, protocol, timeoutMs } = to;
    const { body = Buffer.alloc(0), kind, method, name, path } = call;
    const sentAt = clock.wallTime();
    const headers = { ...protocol.newHeaders(call, 1, timeoutMs), "content-length": String(body.length) };
    const lines = Object.entries(headers).map(([field, value]) => `${field}: ${value}\r\n`).join("");
    const received = await exchange(
        Buffer.concat([
            Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines}\r\n`),
            body,
            Buffer.from(UNFINISHED_HEAD),
        ]),
        to,
    );
    const entry = { name, attempt: 1, kind, path, entryHost, sentAt, endedAt: clock.wallTime() };
    const head = parseHead(received);
    if (!head) {
        return { ...entry, outcome: "none", status: 0, isOwn: false };
    }
    const { status, answerHeaders, answerBody } = head;
    const { outcome, ...rest } = protocol.readHead(call, 1, status, answerHeaders);
    if (answerBody.length !== Number(answerHeaders["content-length"] ?? 0)) {
        return { ...entry, outcome: "broken", status, ...rest, isOwn: false };
    }
    const isOwn = outcome === "answered" && isOwnAnswer(call, answerHeaders, answerBody);
    return { ...entry, outcome, status, ...rest, isOwn };
}

/** Sends bytes and returns all that comes back until the connection ends, or the time is over. */
function exchange(bytes: Buffer, { clock, entryHost, timeoutMs }: Destination): Promise<Buffer> {
    const [host, port] = entryHost.split(":");
    const chunks: Buffer[] = [];
    return new Promise(resolve => {
        const socket = connect(Number(port), host);
        const timer = clock.schedule(timeoutMs, () => socket.destroy());
        socket.on("error", () => undefined);
        socket.on("data", chunk => chunks.push(chunk));
        socket.on("close", () => {
            timer.cancel();
            resolve(Buffer.concat(chunks));
        });
        socket.write(bytes);
    });
}

function parseHead(received: Buffer) {
    const end = received.indexOf(EMPTY_LINE);
    if (end < 0) {
        return undefined;
    }
    const [statusLine, ...fields] = received.subarray(0, end).toString("latin1").split("\r\n");
    const answerHeaders: Record<string, string> = Object.fromEntries(
        fields.map(
            field => [field.split(":", 1)[0]!.toLowerCase(), field.slice(field.indexOf(":") + 1).trim()],
        ),
    );
    const status = Number(statusLine!.split(" ")[1]);
    return { status, answerHeaders, answerBody: received.subarray(end + EMPTY_LINE.length) };
}
