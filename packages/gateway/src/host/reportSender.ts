import type { CoordinatorLink } from "../links/coordinatorLink.js";
import type { HostReport } from "../links/hostReport.js";
import type { KeyCoordinator } from "../ownership/keyCoordinator.js";
import type { LoadReporter } from "../routing/loadReporter.js";

/** Sends this host's reports to the coordinator, which may be this host itself. */
export class ReportSender {
    private readonly loads: LoadReporter;
    private readonly coordinator: KeyCoordinator;
    private readonly link: CoordinatorLink;
    private readonly createReport: () => HostReport;
    private isPostponed = false;

    /** @param createReport returns what was observed since its last call */
    constructor(
        loads: LoadReporter,
        coordinator: KeyCoordinator,
        link: CoordinatorLink,
        createReport: () => HostReport,
    ) {
        this.loads = loads;
        this.coordinator = coordinator;
        this.link = link;
        this.createReport = createReport;
    }

    /**
     * Sends what was observed since the last report. Every other report of a host that has observed nothing is left out, as links between data
     * centres are expensive. Reports with load are not delayed: a key that becomes hot has to be moved at once.
     */
    send(): void {
        const { coordinator, link, loads } = this;
        this.isPostponed = !this.isPostponed && loads.isEmpty && !coordinator.isActive;
        if (this.isPostponed) {
            return;
        }
        const report = this.createReport();
        if (coordinator.isActive) {
            coordinator.handleReport(report);
        }
        else {
            link.send(report);
        }
    }
}
