import type { ConfiguredService } from "./configuredService.js";

const LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 33_554_432,
    "header-timeout": "5000ms",
    "idle-timeout": "10000ms",
};
const ROUTE_COLUMNS = ["name", "hostname", "prefix", "route-type", "service", "timeout", "max-attempts"];
const SERVICE_COLUMNS = ["name", "max-conns", "sharded"];
const ROUTE_TIMEOUT = "10s";
const MAX_ATTEMPTS = 2;
const MAX_CONNECTIONS = 64;

/** The operator's row of configuration: each service with a route of its own, by the first part of the path. */
export function newConfigurationText(
    version: number,
    authority: string,
    services: readonly ConfiguredService[],
): string {
    const routes = services.map((
        { kind, name },
    ) => [name, authority, `/${name}/`, kind, name, ROUTE_TIMEOUT, MAX_ATTEMPTS]);
    const rows = services.map(({ isKeyed, name }) => [name, MAX_CONNECTIONS, isKeyed]);
    return JSON.stringify({
        "config-version": version,
        "routes": { columns: ROUTE_COLUMNS, rows: routes },
        "services": { columns: SERVICE_COLUMNS, rows },
        "limits": LIMITS,
    });
}
