import type { HostList, ListedHost } from "@arbutusdoor/clients";
import type { Clock, ServerId, Timer } from "@arbutusdoor/common";

/** The platform's host list as last read. It lags, so it is only a hint which hosts to try and proves nothing. */
export class ListedHosts {
    private readonly clock: Clock;
    private readonly source: HostList;
    private readonly interval: number;
    private readonly listeners: ((hosts: readonly ListedHost[]) => void)[] = [];
    private leaving: ReadonlySet<string> = new Set();
    private timer: Timer | undefined;
    private isStopped = false;

    /** @param interval time in ms between two reads */
    constructor(clock: Clock, source: HostList, interval: number) {
        this.clock = clock;
        this.source = source;
        this.interval = interval;
    }

    /** Calls the listener after each successful read. */
    onListing(listener: (hosts: readonly ListedHost[]) => void): void {
        this.listeners.push(listener);
    }

    /** Whether the server is leaving according to the last read. */
    isLeaving(server: ServerId): boolean {
        return this.leaving.has(server);
    }

    /** Reads the list immediately and then at each interval; a failed read keeps the last list. */
    async poll(): Promise<void> {
        const listing = await this.source.list();
        if (listing.kind === "hosts") {
            this.leaving = new Set(
                listing.hosts.filter(host => host.state === "leaving").map(host => host.name),
            );
            this.listeners.forEach(listener => listener(listing.hosts));
        }
        if (!this.isStopped) {
            this.timer = this.clock.schedule(this.interval, () => void this.poll());
        }
    }

    /** Stops polling. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }
}
