import {
    type BackendAnswer,
    type BackendRequest,
    BackendTrafficSettings,
    HttpBackendTraffic,
    HttpServerOrders,
    type Order,
    type OrderReply,
    ServerOrdersSettings,
    type SliceGeneration,
} from "@arbutusdoor/clients";
import {
    ManualClock,
    type RequestId,
    type ServerId,
    type ServerIncarnation,
    SystemClock,
} from "@arbutusdoor/common";
import { BackendSettings, BackendStandIn, type ServerEntry } from "@arbutusdoor/standins";
import { text } from "node:stream/consumers";
import { onTestFinished } from "vitest";
import type * as z from "zod";
import { waitUntil } from "../../../clients/tests/support/waitUntil.js";
import { newGrantor } from "./newGrantor.js";

const SERVICE_MS = 10;
const ANSWER_LIMIT_MS = 15_000;

/** A backend server on a clock that moves when told to, with the means to give it orders and requests. */
export class ServerSession {
    readonly clock = new ManualClock();
    readonly server: BackendStandIn;
    private readonly orders: HttpServerOrders;
    private readonly traffic: HttpBackendTraffic;

    private constructor(settings: Partial<z.input<typeof BackendSettings>>) {
        const all = { server: "s1", incarnation: "s1-1", serviceMs: SERVICE_MS, jitter: 0, ...settings };
        const place = { host: "127.0.0.1", port: 0, controlPort: 0 };
        this.server = new BackendStandIn(this.clock, BackendSettings.parse(all), place);
        const clock = new SystemClock();
        this.orders = new HttpServerOrders({ clock, settings: ServerOrdersSettings.parse({}) });
        const traffic = BackendTrafficSettings.parse({ host: "h1", connections: 100 });
        this.traffic = new HttpBackendTraffic({ clock, settings: traffic });
    }

    static async start(settings: Partial<z.input<typeof BackendSettings>> = {}): Promise<ServerSession> {
        const session = new ServerSession(settings);
        await session.server.start();
        onTestFinished(() => session.server.kill());
        return session;
    }

    /** Sends an order of grantor h1 to this run of the server, changed as the test wants. */
    async order(changes: Partial<Order>): Promise<OrderReply> {
        const outcome = await this.orders.send(this.server.address, this.newOrder(changes), ANSWER_LIMIT_MS);
        if (outcome.kind !== "reply") {
            throw new Error(`the order ended as ${outcome.kind}: ${outcome.reason}`);
        }
        return outcome.reply;
    }

    /** Makes h1 the only grantor, with a lease and slices held at a generation. */
    async hold(leaseUntil: number, ...slices: SliceGeneration[]): Promise<OrderReply> {
        return await this.order({
            listVersion: 1,
            grantors: [newGrantor("h1")],
            epoch: 1,
            leaseUntil,
            take: slices,
        });
    }

    /** Sends a request and waits for its whole answer. */
    async request(changes: Partial<BackendRequest> = {}): Promise<unknown> {
        const answer = await this.send(changes);
        if (answer.kind !== "answered") {
            return answer.kind === "notRun" ? `notRun: ${answer.cause}` : answer.kind;
        }
        const body = await text(answer.body).catch(() => "broken");
        return { status: answer.status, body: body.startsWith("{") ? JSON.parse(body) : body };
    }

    /** Resolves once the next thing that the server waits for is due at a time. */
    async untilDue(time: number): Promise<void> {
        await waitUntil(() => this.clock.nextDue() === time);
    }

    /** The journal's entries. */
    read(): readonly ServerEntry[] {
        return (this.server.readJournal() as { entries: readonly ServerEntry[]; }).entries;
    }

    /** The entries of one kind. */
    list<Kind extends ServerEntry["kind"]>(kind: Kind): readonly Extract<ServerEntry, { kind: Kind; }>[] {
        return this.read().filter((entry): entry is Extract<ServerEntry, { kind: Kind; }> =>
            entry.kind === kind
        );
    }

    private async send(changes: Partial<BackendRequest>): Promise<BackendAnswer> {
        return await this.traffic.send({
            id: "h1-1" as RequestId,
            server: "s1" as ServerId,
            address: this.server.address,
            method: "GET",
            path: "/beach/1",
            headers: {},
            body: undefined,
            deadline: ANSWER_LIMIT_MS,
            slice: undefined,
            signal: new AbortController().signal,
            ...changes,
        });
    }

    private newOrder(changes: Partial<Order>): Order {
        return {
            server: "s1" as ServerId,
            incarnation: "s1-1" as ServerIncarnation,
            from: newGrantor("h1"),
            listVersion: 1,
            epoch: 1,
            take: [],
            fence: [],
            ...changes,
        };
    }
}
