import type { Clock } from "@arbutusdoor/common";
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import polka from "polka";
import type * as z from "zod";
import { Faults } from "./faults.js";
import { Gate } from "./gate.js";
import { Listener } from "./listener.js";
import type { Place } from "./place.js";
import { readJson } from "./readJson.js";
import { SecondAnswers } from "./secondAnswers.js";
import { sendJson } from "./sendJson.js";
import type { StandInRequest } from "./standInRequest.js";

type Handler = (request: StandInRequest, response: ServerResponse) => Promise<void> | void;

/**
 * A small program in the place of one of the platform's systems. Besides its own protocol it has, on its port and on a
 * control port of its own, `POST /faults`, `GET /faults` and `GET /journal`. Faults touch neither of these, but for
 * the closed port of `down: refused`, which leaves the control port.
 */
export abstract class StandIn {
    protected readonly clock: Clock;
    protected readonly app = polka({
        onNoMatch: (request, response) => this.handleOther(request as StandInRequest, response),
    });
    protected readonly gate = new Gate();
    protected faults = Faults.parse({});
    private readonly secondAnswers: SecondAnswers;
    private readonly control = polka();
    private readonly listener: Listener;
    private readonly controlListener: Listener;

    constructor(clock: Clock, place: Place) {
        this.clock = clock;
        this.secondAnswers = new SecondAnswers(clock);
        this.listener = new Listener(place.host, place.port, toListener(this.app));
        this.controlListener = new Listener(place.host, place.controlPort, toListener(this.control));
        for (const app of [this.app, this.control]) {
            app.get("/faults", (...[, response]) => sendJson(response, 200, this.faults));
            app.get("/journal", (...[, response]) => sendJson(response, 200, this.readJournal()));
            app.post("/faults", (request, response) => void this.takeFaults(request, response));
        }
    }

    /** IP number and port of the stand-in's own protocol. */
    get address(): string {
        return this.listener.address;
    }

    /** IP number and port of the control interface. */
    get controlAddress(): string {
        return this.controlListener.address;
    }

    /** Requests that a frozen stand-in holds back. */
    get heldCount(): number {
        return this.gate.heldCount;
    }

    /** Listens on both ports. */
    async start(): Promise<void> {
        await this.listener.open();
        await this.controlListener.open();
    }

    /** Stops gracefully: what is under way is answered first. */
    async stop(): Promise<void> {
        this.gate.open();
        await this.listener.close();
        await this.controlListener.cut();
    }

    /** Stops at once and breaks all connections, as a lost process does. */
    async kill(): Promise<void> {
        this.gate.open();
        await this.listener.cut();
        await this.controlListener.cut();
    }

    /** Brings faults about; those not named end. */
    async setFaults(faults: z.input<typeof Faults>): Promise<void> {
        this.faults = Faults.parse(faults);
        if (this.faults.isFrozen) {
            this.gate.close();
        }
        else {
            this.gate.open();
        }
        if (this.faults.down === "refused") {
            await this.listener.cut();
        }
        else {
            await this.listener.open();
        }
    }

    /** What happened, as `GET /journal` gives it. */
    abstract readJournal(): unknown;

    /** Handles what no route matches. */
    protected handleOther(request: StandInRequest, response: ServerResponse): void {
        sendJson(response, 404, { error: `nothing at ${request.path}` });
    }

    /** Wraps the handler of a route in the faults that concern every system. */
    protected withFaults(handler: Handler): (request: StandInRequest, response: ServerResponse) => void {
        return (request, response) => {
            void this.handle(handler, request, response);
        };
    }

    /** Adds a call to the control interface, which faults do not touch. */
    protected addControl(path: string, handler: Handler): void {
        this.control.post(path, (request, response) => void handler(request as StandInRequest, response));
    }

    /** Answers, or loses the answer of something that has taken effect. */
    protected answerEffect(
        response: ServerResponse,
        status: number,
        value: unknown,
        headers: Readonly<Record<string, string>> = {},
    ): void {
        if (this.losesAnswer()) {
            response.destroy();
            return;
        }
        sendJson(response, status, value, headers);
    }

    /** Loses the answer and waits before the effect, when that fault is set. */
    protected async delayEffect(response: ServerResponse): Promise<void> {
        const { lateEffects, lateMs } = this.faults;
        if (lateEffects > 0) {
            this.faults = { ...this.faults, lateEffects: lateEffects - 1 };
            response.destroy();
            await this.clock.sleep(lateMs);
        }
    }

    /** Whether the answer that is about to be sent is to be lost. */
    protected losesAnswer(): boolean {
        const { answerLostAfterCommit } = this.faults;
        if (answerLostAfterCommit === 0) {
            return false;
        }
        this.faults = { ...this.faults, answerLostAfterCommit: answerLostAfterCommit - 1 };
        return true;
    }

    private async handle(handler: Handler, request: StandInRequest, response: ServerResponse): Promise<void> {
        this.secondAnswers.follow(request, response, this.faults.secondAnswersEvery);
        if (this.faults.down === "unavailable") {
            sendJson(response, 503, { error: "unavailable" });
            return;
        }
        if (this.faults.slowMs > 0) {
            await this.clock.sleep(this.faults.slowMs);
        }
        await this.gate.pass();
        await handler(request, response);
    }

    private async takeFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const faults = await readJson(request, Faults);
        if (!faults) {
            sendJson(response, 400, { error: "malformed faults" });
            return;
        }
        sendJson(response, 200, faults);
        await this.setFaults(faults);
    }
}

function toListener(app: polka.Polka): RequestListener {
    return (request, response) => app.handler(request as polka.Request, response);
}
