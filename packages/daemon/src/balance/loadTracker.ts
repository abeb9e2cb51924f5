import type { Clock, HostId, Milliseconds, ServiceId, SliceId } from "@arbutusdoor/common";
import { type LoadReport, mergeReports, SliceLoad, type SliceLoadSettings } from "@arbutusdoor/policy";
import type { BalanceSettings } from "./balanceSettings.js";

type HeardLoad = { readonly report: LoadReport; readonly heardAt: Milliseconds; };

/** Tracks the load of the slices of keyed services: from this host's own requests and from the reports of other grantors. */
export class LoadTracker {
    private readonly clock: Clock;
    private readonly settings: BalanceSettings;
    private readonly loadSettings: SliceLoadSettings;
    private readonly own = new Map<ServiceId, SliceLoad>();
    private readonly heard = new Map<ServiceId, Map<HostId, HeardLoad>>();

    constructor(clock: Clock, settings: BalanceSettings, loadSettings: SliceLoadSettings) {
        this.clock = clock;
        this.settings = settings;
        this.loadSettings = loadSettings;
    }

    /** Counts a request that occupied a slot of its server for `duration`. */
    record(service: ServiceId, slice: SliceId, key: string, duration: Milliseconds): void {
        const now = this.clock.now();
        let load = this.own.get(service);
        if (!load) {
            load = new SliceLoad(this.loadSettings, now);
            this.own.set(service, load);
        }
        load.record(slice, key, duration, now);
    }

    /** Lists the load of each service as measured by this host. */
    listLocal(): readonly { readonly service: ServiceId; readonly report: LoadReport; }[] {
        const now = this.clock.now();
        return [...this.own].map(([service, load]) => ({ service, report: load.getReport(now) }));
    }

    /** Records another grantor's report; ignored when `maxReporters` others have reported. */
    recordReport(host: HostId, service: ServiceId, report: LoadReport): void {
        const reports = this.heard.get(service) ?? new Map<HostId, HeardLoad>();
        this.heard.set(service, reports);
        if (reports.has(host) || reports.size < this.settings.maxReporters) {
            reports.set(host, { report, heardAt: this.clock.now() });
        }
    }

    /** Returns the load of a service from all recent reports and this host's own measurements. */
    getLoad(service: ServiceId): LoadReport {
        const now = this.clock.now();
        const heard = [...this.heard.get(service)?.values() ?? []]
            .filter(({ heardAt }) => now - heardAt <= this.settings.reportAgeMs)
            .map(({ report }) => report);
        const own = this.own.get(service)?.getReport(now);
        return mergeReports(own ? [...heard, own] : heard);
    }

    /** Removes services that are no longer declared. */
    retain(services: ReadonlySet<ServiceId>): void {
        for (const book of [this.own, this.heard]) {
            for (const service of [...book.keys()].filter(name => !services.has(name))) {
                book.delete(service);
            }
        }
    }
}
