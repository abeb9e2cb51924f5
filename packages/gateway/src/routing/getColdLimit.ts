import type { ColdLimit } from "@arbutusdoor/policy";
import type { RoutedService } from "../configuration/routedService.js";
import type { HostSettings } from "../settings/hostSettings.js";

/** Returns what a cold server of a service may get; `undefined` unless the service's tolerated rate and both bounds are set. */
export function getColdLimit(
    { coldOvershoot, coldSlack }: HostSettings["bounds"],
    service: RoutedService | undefined,
): ColdLimit | undefined {
    const requestsPerS = service?.coldRequestsPerS;
    return requestsPerS === undefined || coldOvershoot === undefined || coldSlack === undefined
        ? undefined
        : { requestsPerS, perSecond: requestsPerS * coldOvershoot + coldSlack };
}
