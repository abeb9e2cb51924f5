import type { HostList, ListedHost } from "@arbutusdoor/clients";
import type { Clock, ServerId, Timer } from "@arbutusdoor/common";

/** Last reading of the platform's host list. It lags, so it is a hint whom to try and never proof of anything. */
export class ListedHosts {
    private readonly clock: Clock;
    private readonly source: HostList;
    private readonly interval: number;
    private readonly listeners: ((hosts: readonly ListedHost[]) => void)[] = [];
    private leaving: ReadonlySet<string> = new Set();
    private timer: Timer | undefined;
    private isStopped = false;

    /** @param interval time in ms between two readings */
    constructor(clock: Clock, source: HostList, interval: number) {
        this.clock = clock;
        this.source = source;
        this.interval = interval;
    }

    /** Calls the listener after each reading. */
    onListing(listener: (hosts: readonly ListedHost[]) => void): void {
        this.listeners.push(listener);
    }

    /** Whether the last reading says that the server leaves. */
    isLeaving(server: ServerId): boolean {
        return this.leaving.has(server);
    }

    /** Reads the list now and then at each interval; a failed reading leaves the last one in place. */
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

    /** Reads no more. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }
}
