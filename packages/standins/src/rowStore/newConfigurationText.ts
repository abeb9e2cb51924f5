import type { ConfiguredService } from "./configuredService.js";

const LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 33_554_432,
    "idle-timeout": "10000ms",
};
const ROUTE_COLUMNS = ["name", "hostname", "prefix", "route-type", "service", "timeout", "max-attempts"];
const SERVICE_COLUMNS = ["name", "max-conns", "sharded"];
const ROUTE_TIMEOUT = "10s";
const MAX_ATTEMPTS = 2;
const MAX_CONNECTIONS = 64;
const HEADER_TIMEOUT_MS = 5_000;

/**
 * The operator's row of configuration: each service with a route of its own, by the first part of the path.
 *
 * @param headerTimeoutMs longest time that a caller may take for the head of a request
 */
export function newConfigurationText(
    version: number,
    authority: string,
    services: readonly ConfiguredService[],
    headerTimeoutMs = HEADER_TIMEOUT_MS,
): string {
    const routes = services.map((
        { kind, name },
    ) => [name, authority, `/${name}/`, kind, name, ROUTE_TIMEOUT, MAX_ATTEMPTS]);
    const rows = services.map(({ isKeyed, name }) => [name, MAX_CONNECTIONS, isKeyed]);
    return JSON.stringify({
        "config-version": version,
        "routes": { columns: ROUTE_COLUMNS, rows: routes },
        "services": { columns: SERVICE_COLUMNS, rows },
        "limits": { ...LIMITS, "header-timeout": `${headerTimeoutMs}ms` },
    });
}
