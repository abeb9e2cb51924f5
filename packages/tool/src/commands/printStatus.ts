import type { SystemStatus } from "@arbutusdoor/configuration";

/** Formats the status as readable lines. */
export function printStatus(status: SystemStatus): string[] {
    const { configuration, deciders, hosts, peers, servers } = status;
    const version = configuration ? `version ${configuration.version} (${configuration.digest})` : "none yet";
    return [
        `host           ${status.host} in ${status.dataCentre}, incarnation ${status.incarnation}`,
        `configuration  ${version}`,
        "hosts",
        ...hosts.map(({ host, version, isConfirmed }) =>
            `  ${host}  ${isConfirmed ? "confirmed" : "not confirmed"}, version ${version}`
        ),
        "peers",
        ...peers.map(({ host, dataCentre, isConnected }) =>
            `  ${host}  ${dataCentre}, ${isConnected ? "connected" : "not connected"}`
        ),
        "deciders",
        ...deciders.map(({ dataCentre, host }) => `  ${dataCentre}  ${host ?? "none known"}`),
        "servers",
        ...servers.map(server => `  ${printServer(server)}`),
    ];
}

function printServer(server: SystemStatus["servers"][number]): string {
    const incarnation = server.incarnation ? `, incarnation ${server.incarnation}` : "";
    const grantors = server.grantors.length > 0 ? `, grantors ${server.grantors.join(" ")}` : "";
    return `${server.server}  ${server.service} in ${server.dataCentre}, ${server.state}${incarnation}${grantors}`;
}
