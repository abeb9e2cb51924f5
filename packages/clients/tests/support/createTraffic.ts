import { BackendTrafficSettings, HttpBackendTraffic } from "@arbutusdoor/clients";
import { ManualClock } from "@arbutusdoor/common";
import { onTestFinished } from "vitest";

/** Creates traffic with a manual clock; it is closed at the end of the test. */
export function createTraffic(
    connections = 4,
    waitingLimit?: number,
): { traffic: HttpBackendTraffic; clock: ManualClock; } {
    const clock = new ManualClock();
    const settings = BackendTrafficSettings.parse({ host: "h1", connections, waitingLimit });
    const traffic = new HttpBackendTraffic({ clock, settings });
    onTestFinished(() => void traffic.close());
    return { traffic, clock };
}
