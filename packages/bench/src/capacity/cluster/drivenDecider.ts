import type { HostId, ServerId } from "@arbutusdoor/common";
import type { Effect, OwnershipMessage, ServerReport, ServerRow } from "@arbutusdoor/ownership";
import type { ClusterSize } from "./clusterSize.js";
import { DrivenHost } from "./drivenHost.js";
import { newPeerIdentity } from "./newPeerIdentity.js";

const CONFIRM_MS = 600;
const ELECTION_MS = 4_000;

/** The decider of a data centre, and in place of its peers their reports and promises. */
export class DrivenDecider {
    readonly host: DrivenHost;
    private readonly reportIntervalMs: number;
    private isReporting = false;

    constructor(size: ClusterSize) {
        this.host = new DrivenHost(size, true);
        this.reportIntervalMs = this.host.state.settings.reportIntervalMs;
        this.host.onEffect = effect => this.confirm(effect);
        this.host.clock.advance(ELECTION_MS);
    }

    /** Begins the reports of all other grantors, spread over the report interval. */
    startReports(): void {
        this.isReporting = true;
        const servers = Object.keys(this.host.state.servers) as ServerId[];
        servers.forEach((server, index) =>
            this.host.clock.schedule(
                this.reportIntervalMs * index / servers.length,
                () => this.report(server),
            )
        );
    }

    /** Has a server answer nobody any more. */
    lose(server: ServerId): void {
        this.host.lost.add(server);
    }

    private report(server: ServerId): void {
        const { clock, state } = this.host;
        const row = state.servers[server]?.value;
        if (!row || !this.isReporting) {
            return;
        }
        const list = row.change ?? row.list;
        for (const grantor of list.grantors.filter(other => other.host !== state.self.host)) {
            this.say(grantor.host, { kind: "serverReport", report: this.newReport(row, list.listVersion) });
        }
        clock.schedule(this.reportIntervalMs, () => this.report(server));
    }

    private newReport(row: ServerRow, listVersion: number): ServerReport {
        const isSuspect = this.host.lost.has(row.server);
        return {
            server: row.server,
            incarnation: row.incarnation,
            listVersion,
            epoch: row.epoch,
            isLeaving: false,
            isBarred: false,
            isSuspect,
            silence: isSuspect ? CONFIRM_MS : 0,
        };
    }

    private confirm(effect: Effect): void {
        if (effect.kind !== "sendPeer" || effect.message.kind !== "bar") {
            return;
        }
        const { server, barId, basisVersion } = effect.message;
        this.host.clock.schedule(
            CONFIRM_MS,
            () => this.say(effect.to, { kind: "barConfirmed", server, barId, basisVersion, denied: [] }),
        );
    }

    private say(host: HostId, message: OwnershipMessage): void {
        const from = newPeerIdentity(Number(host.split("-")[1]));
        this.host.take({ kind: "peerMessage", from, message });
    }
}
