import type {
    Clock,
    Milliseconds,
    ServerId,
    ServerIncarnation,
    ServiceId,
    SliceId,
} from "@arbutusdoor/common";
import * as z from "zod";
import { bufferBody } from "../http/bufferBody.js";
import { HttpExchange } from "../http/httpExchange.js";
import type { HttpOutcome } from "../http/httpOutcome.js";
import { HttpPools } from "../http/httpPools.js";
import { parseJson } from "../http/parseJson.js";
import type { Order } from "./order.js";
import type { OrderOutcome } from "./orderOutcome.js";
import type { OrderReply } from "./orderReply.js";
import { ServerOrders } from "./serverOrders.js";
import type { ServerOrdersSettings } from "./serverOrdersSettings.js";
import type { SliceGeneration } from "./sliceGeneration.js";

const PATH = "/arbutusdoor/order";
const OK_STATUS = 200;
const REPLY_LIMIT_BYTES = 16_777_216;
const REPLY_TIMEOUT = "no whole reply within the time limit";
const CONNECTION_REFUSED = "ECONNREFUSED";

const sliceSchema = z.object({
    service: z.string(),
    slice: z.string(),
    generation: z.int().min(0),
}).transform((slice): SliceGeneration => ({
    service: slice.service as ServiceId,
    slice: slice.slice as SliceId,
    generation: slice.generation,
}));

const replySchema = z.object({
    server: z.string().transform(name => name as ServerId),
    incarnation: z.string().min(1).transform(name => name as ServerIncarnation),
    clock: z.number(),
    listVersion: z.int().min(0),
    epoch: z.int().min(0),
    isAccepted: z.boolean(),
    reason: z.string().optional(),
    taken: z.array(sliceSchema),
    fenced: z.array(sliceSchema),
    heldCount: z.int().min(0),
    isLeaving: z.boolean(),
}).transform((reply): OrderReply => reply);

/**
 * Sends orders over HTTP: `POST /arbutusdoor/order` with an Order as JSON answers 200 with an OrderReply, also when the order is refused.
 * The outcome is `refused` for a refused connection and `silent` for every other failure, including a malformed reply.
 */
export class HttpServerOrders extends ServerOrders {
    private readonly clock: Clock;
    private readonly pools: HttpPools;

    constructor(options: { readonly clock: Clock; readonly settings: ServerOrdersSettings; }) {
        super();
        this.clock = options.clock;
        this.pools = new HttpPools(options.settings);
    }

    override async send(address: string, order: Order, timeout: Milliseconds): Promise<OrderOutcome> {
        const overdueController = new AbortController();
        const timer = this.clock.schedule(timeout, () => overdueController.abort(new Error(REPLY_TIMEOUT)));
        const request = {
            method: "POST",
            path: PATH,
            headers: { "content-type": "application/json" },
            body: Buffer.from(JSON.stringify(order)),
            headTimeout: timeout,
            signal: overdueController.signal,
        };
        const outcome = await HttpExchange.send(this.pools.get(address), request, this.clock);
        const result = await getOutcome(outcome, order.server);
        timer.cancel();
        return result;
    }

    /** Closes all connections once their orders have ended. */
    async close(): Promise<void> {
        await this.pools.close();
    }
}

async function getOutcome(outcome: HttpOutcome, server: ServerId): Promise<OrderOutcome> {
    if (outcome.kind !== "head") {
        const isRefused = outcome.kind === "notSent" && outcome.reason.startsWith(CONNECTION_REFUSED);
        return { kind: isRefused ? "refused" : "silent", reason: outcome.reason };
    }
    const body = await bufferBody(outcome.body, REPLY_LIMIT_BYTES);
    if (body.kind === "broken") {
        return { kind: "silent", reason: body.reason };
    }
    if (outcome.status !== OK_STATUS) {
        return { kind: "silent", reason: `status ${outcome.status}` };
    }
    const reply = parseJson(body.bytes, replySchema);
    if (!reply) {
        return { kind: "silent", reason: "the reply is malformed" };
    }
    return reply.server === server
        ? { kind: "reply", reply }
        : { kind: "silent", reason: "another server answers at this address" };
}
