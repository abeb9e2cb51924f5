import type { ServerId } from "@arbutusdoor/common";
import { DrivenDecider } from "../cluster/drivenDecider.js";
import { newPeerIdentity } from "../cluster/newPeerIdentity.js";
import { scaleSizes } from "../measure/scaleSizes.js";
import { STUDIES } from "../studies.js";
import type { StudyOptions } from "../studyOptions.js";

const SECOND_MS = 1_000;
const EVENT_MS = 3_000;
const GRANTED = 10;
const SERVERS = 64;
const FEWEST_SERVERS = 18;

STUDIES.register({
    name: "decider-by-servers",
    question:
        "The decider of a data centre at rest: one host for three servers (at least 8), three reports of each every 400 ms.",
    axis: "servers",
    run: options => scaleSizes([12, 24, 48, 96], options).map(measureDecider),
});

/** Servers of a cluster in which some are lost. */
function scaleServers({ scale }: StudyOptions): number {
    return Math.max(FEWEST_SERVERS, Math.round(SERVERS * scale));
}

function newDecider(servers: number): DrivenDecider {
    const peers = Math.max(8, Math.ceil(servers / 3));
    const granted = Math.min(servers, GRANTED);
    const decider = new DrivenDecider({ peers, servers, slices: servers * 8, granted, slicesPerShard: 64 });
    decider.startReports();
    decider.host.clock.advance(SECOND_MS);
    return decider;
}

function measureDecider(servers: number): Readonly<Record<string, number>> {
    const { host } = newDecider(servers);
    const traffic = host.measure(SECOND_MS);
    return {
        servers,
        "report us": traffic.getMeanUs("peerMessage"),
        "reports/s": traffic.processorUs.get("peerMessage")?.calls ?? 0,
        "tick us": traffic.getMeanUs("tick"),
        "decisions us/s": traffic.getTotalUs(),
        "messages/s": traffic.messages,
        "writes/s": traffic.writes,
    };
}

STUDIES.register({
    name: "loss-of-servers",
    question:
        "Table and messages of the decider while servers are lost together, of 64 with 8 slices each and 22 hosts.",
    axis: "lost",
    run: options =>
        scaleSizes([1, 2, 4, 8], options).map(lost => {
            const decider = newDecider(scaleServers(options));
            for (let server = 0; server < lost; server++) {
                decider.lose(`server-${GRANTED + server}` as ServerId);
            }
            return { lost, ...measureEvent(decider) };
        }),
});

STUDIES.register({
    name: "loss-of-entry-hosts",
    question: "The same while entry hosts are lost, of 22; each is a grantor of 8 to 9 of the 64 servers.",
    axis: "lost",
    run: options =>
        scaleSizes([1, 2, 3, 4], options).map(lost => {
            const decider = newDecider(scaleServers(options));
            for (let peer = 0; peer < lost; peer++) {
                decider.host.take({ kind: "peerDown", identity: newPeerIdentity(5 + peer) });
            }
            return { lost, ...measureEvent(decider) };
        }),
});

function measureEvent({ host }: DrivenDecider): Readonly<Record<string, number>> {
    const traffic = host.measure(EVENT_MS);
    return {
        "transactions": traffic.writes,
        "rows written": traffic.rowsWritten,
        "bytes written": traffic.bytesWritten,
        "messages": traffic.messages,
        "message bytes": traffic.messageBytes,
    };
}
