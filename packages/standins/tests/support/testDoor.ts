import { BackendTrafficSettings, HttpBackendTraffic } from "@arbutusdoor/clients";
import { type ServerId, SystemClock } from "@arbutusdoor/common";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { onTestFinished } from "vitest";

type Echo = { readonly body: string; readonly headers: Readonly<Record<string, string>>; };

type Fault = "none" | "runsTwice" | "hidesRun" | "swapsAnswers" | "cutsAnswers" | "invents";

/** A door that passes requests to one server, and breaks one promise of its kind for every third request. */
export class TestDoor {
    address = "";
    private readonly traffic = new HttpBackendTraffic({
        clock: new SystemClock(),
        settings: BackendTrafficSettings.parse({ host: "door" }),
    });
    private readonly server: string;
    private readonly fault: Fault;
    private count = 0;
    private earlier: Echo = { body: "{}", headers: {} };

    private constructor(server: string, fault: Fault) {
        this.server = server;
        this.fault = fault;
    }

    static async start(server: string, fault: Fault): Promise<TestDoor> {
        const door = new TestDoor(server, fault);
        const listener = createServer((request, response) => void door.take(request, response));
        listener.listen(0, "127.0.0.1");
        await once(listener, "listening");
        door.address = `127.0.0.1:${(listener.address() as AddressInfo).port}`;
        onTestFinished(() => {
            listener.close();
            listener.closeAllConnections();
            return door.traffic.close();
        });
        return door;
    }

    private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const id = `door-${++this.count}`;
        const fault = this.count % 3 === 0 ? this.fault : "none";
        const body = await text(request);
        const first = fault === "invents" ? this.earlier : await this.send(request, id, body);
        const answer = fault === "runsTwice" ? await this.send(request, id, body) : first;
        const outcome = fault === "hidesRun" ? "not-run" : "answered";
        const shown = fault === "swapsAnswers" ? this.earlier : answer;
        this.earlier = answer;
        response.setHeader("arbutusdoor-outcome", outcome);
        response.setHeader("arbutusdoor-request-id", id);
        for (const [name, value] of Object.entries(shown.headers)) {
            response.setHeader(name, value);
        }
        if (fault === "cutsAnswers") {
            response.write(shown.body.slice(0, -1), () => response.destroy());
            return;
        }
        response.end(shown.body);
    }

    private async send(request: IncomingMessage, id: string, body: string): Promise<Echo> {
        const headers = { "idempotency-key": String(request.headers["idempotency-key"] ?? "") };
        const answer = await this.traffic.send({
            id: id as never,
            server: "s1" as ServerId,
            address: this.server,
            method: request.method!,
            path: request.url!,
            headers: headers["idempotency-key"] ? headers : {},
            body: body === "" ? undefined : Readable.from([body]),
            deadline: 10_000,
            slice: undefined,
            signal: new AbortController().signal,
        });
        return answer.kind === "answered"
            ? { headers: answer.headers as Record<string, string>, body: await text(answer.body) }
            : { headers: {}, body: "{}" };
    }
}
