import type { Clock } from "@arbutusdoor/common";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Delays in ms of second answers, in turn. */
const DELAYS_MS = [0, 10, 25, 50];
/** Longer answers are not sent again. */
const MAX_BYTES = 16_384;

/**
 * Sends some answers a second time on the connection of the first one: in turn some time after it, and some time after the next request on
 * the connection has arrived.
 */
export class SecondAnswers {
    private readonly clock: Clock;
    private readonly awaitingRequest = new WeakMap<Socket, Buffer>();
    private answers = 0;
    private seconds = 0;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Follows the answer to a request. One of each `every` answers is sent again; 0: none. */
    follow({ socket }: IncomingMessage, response: ServerResponse, every: number): void {
        const waiting = this.awaitingRequest.get(socket);
        if (waiting) {
            this.awaitingRequest.delete(socket);
            this.send(socket, waiting);
        }
        if (every === 0 || ++this.answers % every !== 0) {
            return;
        }
        const chunks: Buffer[] = [];
        const { write } = socket;
        socket.write = ((...args: Parameters<Socket["write"]>) => {
            const [chunk, encoding] = args;
            chunks.push(
                typeof chunk === "string"
                    ? Buffer.from(chunk, typeof encoding === "string" ? encoding : "utf8")
                    : Buffer.from(chunk),
            );
            return write.apply(socket, args);
        }) as Socket["write"];
        response.once("close", () => {
            socket.write = write;
            const answer = Buffer.concat(chunks);
            if (!response.writableFinished || answer.length > MAX_BYTES) {
                return;
            }
            if (this.seconds++ % 2 === 0) {
                this.awaitingRequest.set(socket, answer);
            }
            else {
                this.send(socket, answer);
            }
        });
    }

    private send(socket: Socket, answer: Buffer): void {
        const delayMs = DELAYS_MS[Math.floor(this.seconds / 2) % DELAYS_MS.length]!;
        this.clock.schedule(delayMs, () => {
            if (socket.writable) {
                socket.write(answer);
            }
        });
    }
}
