import { type Order, type OrderOutcome, ServerOrders } from "@arbutusdoor/clients";
import { ManualClock } from "@arbutusdoor/common";
import type { HostId, HostIncarnation, ServerId, ServerIncarnation } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { LeavingProbes } from "../src/hosts/leavingProbes.js";
import { createDeclaration } from "./helpers/createDeclaration.js";

const INTERVAL_MS = 1_000;
const SERVERS = ["permits-1", "permits-2"] as ServerId[];

class ScriptedOrders extends ServerOrders {
    readonly sent: Order[] = [];
    leaving: readonly ServerId[] = [];
    unresponsive: readonly ServerId[] = [];

    override async send(_address: string, order: Order): Promise<OrderOutcome> {
        this.sent.push(order);
        if (this.unresponsive.includes(order.server)) {
            return { kind: "silent", reason: "no reply" };
        }
        const reply = {
            server: order.server,
            incarnation: `${order.server}-1` as ServerIncarnation,
            clock: 0,
            listVersion: 0,
            epoch: 0,
            isAccepted: true,
            taken: [],
            fenced: [],
            heldCount: 0,
            isLeaving: this.leaving.includes(order.server),
        };
        return { kind: "reply", reply };
    }
}

test("pooled servers are probed at each interval with orders that change nothing; without a reply the last state stays", async () => {
    const clock = new ManualClock();
    const orders = new ScriptedOrders();
    const self = { host: "north-1" as HostId, incarnation: "north-1-a" as HostIncarnation };
    const probes = new LeavingProbes({
        clock,
        orders,
        self,
        getDeclaration: createDeclaration,
        interval: INTERVAL_MS,
    });
    const advance = async () => {
        await clock.advance(INTERVAL_MS);
        await new Promise(resolve => setImmediate(resolve));
    };
    const list = () => SERVERS.filter(server => probes.isLeaving(server));
    const seen = [];
    await probes.run();
    seen.push(list());
    orders.leaving = ["permits-2" as ServerId];
    await advance();
    seen.push(list());
    orders.leaving = [];
    orders.unresponsive = ["permits-2" as ServerId];
    await advance();
    seen.push(list());
    orders.unresponsive = [];
    await advance();
    seen.push(list());
    probes.stop();
    await advance();
    expect(seen).toEqual([[], ["permits-2"], ["permits-2"], []]);
    expect(orders.sent.map(order => order.server)).toEqual([...SERVERS, ...SERVERS, ...SERVERS, ...SERVERS]);
    expect(orders.sent.filter(order => order.incarnation !== undefined || order.take.length > 0)).toEqual(
        [],
    );
});
