import type { SystemStatus } from "@arbutusdoor/configuration";

/** Returns the hosts, including the answering one, whose version is older than `version`. */
export function getLateHosts(status: SystemStatus, version: number): string[] {
    const lateHosts = status.hosts.filter(host => host.version < version).map(({ host }) => host);
    const isAnsweringLate = (status.configuration?.version ?? 0) < version;
    if (isAnsweringLate && !lateHosts.includes(status.host)) {
        lateHosts.push(status.host);
    }
    return lateHosts.sort();
}
