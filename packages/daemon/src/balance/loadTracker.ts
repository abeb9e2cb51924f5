import type { Clock, HostId, Milliseconds, ServiceId, SliceId } from "@arbutusdoor/common";
import { type LoadReport, mergeReports, SliceLoad, type SliceLoadSettings } from "@arbutusdoor/policy";
import type { BalanceSettings } from "./balanceSettings.js";

type ReportedLoad = { readonly report: LoadReport; readonly receivedAt: Milliseconds; };

/** Tracks the load of the slices of keyed services: from this host's own requests and from the reports of other grantors. */
export class LoadTracker {
    private readonly clock: Clock;
    private readonly settings: BalanceSettings;
    private readonly loadSettings: SliceLoadSettings;
    private readonly local = new Map<ServiceId, SliceLoad>();
    private readonly reported = new Map<ServiceId, Map<HostId, ReportedLoad>>();

    constructor(clock: Clock, settings: BalanceSettings, loadSettings: SliceLoadSettings) {
        this.clock = clock;
        this.settings = settings;
        this.loadSettings = loadSettings;
    }

    /** Counts a request that occupied a slot of its server for `duration`. */
    record(service: ServiceId, slice: SliceId, key: string, duration: Milliseconds): void {
        const now = this.clock.now();
        let load = this.local.get(service);
        if (!load) {
            load = new SliceLoad(this.loadSettings, now);
            this.local.set(service, load);
        }
        load.record(slice, key, duration, now);
    }

    /** Lists the load of each service as measured by this host. */
    listLocal(): readonly { readonly service: ServiceId; readonly report: LoadReport; }[] {
        const now = this.clock.now();
        return [...this.local].map(([service, load]) => ({ service, report: load.getReport(now) }));
    }

    /** Records another grantor's report; ignored when `maxReporters` others have reported. */
    recordReport(host: HostId, service: ServiceId, report: LoadReport): void {
        const reports = this.reported.get(service) ?? new Map<HostId, ReportedLoad>();
        this.reported.set(service, reports);
        if (reports.has(host) || reports.size < this.settings.maxReporters) {
            reports.set(host, { report, receivedAt: this.clock.now() });
        }
    }

    /** Returns the load of a service from all recent reports and this host's own measurements. */
    getLoad(service: ServiceId): LoadReport {
        const now = this.clock.now();
        const reported = [...this.reported.get(service)?.values() ?? []]
            .filter(({ receivedAt }) => now - receivedAt <= this.settings.reportAgeMs)
            .map(({ report }) => report);
        const local = this.local.get(service)?.getReport(now);
        return mergeReports(local ? [...reported, local] : reported);
    }

    /** Removes services that are no longer declared. */
    retain(services: ReadonlySet<ServiceId>): void {
        for (const loads of [this.local, this.reported]) {
            for (const service of [...loads.keys()].filter(name => !services.has(name))) {
                loads.delete(service);
            }
        }
    }
}
