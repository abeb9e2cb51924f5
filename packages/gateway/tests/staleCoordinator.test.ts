import type { Milliseconds } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { HostPair } from "./support/hostPair.js";

/** Time after the store's acknowledgement by which a configuration has to be in effect. */
const APPLY_LIMIT_MS = 2_000;

/** Writes a configuration after a fault of the coordinator's way to the store. Returns the time until the other host adopts it. */
async function measureAdoption(
    cause: (pair: HostPair) => void,
    delay: Milliseconds,
): Promise<Milliseconds> {
    const pair = new HostPair();
    await pair.start();
    expect(pair.getAdoption(2, 1)).toBeLessThan(Infinity);
    cause(pair);
    await pair.advance(delay);
    const writtenAt = pair.clock.now();
    pair.configure(2);
    await pair.advance(APPLY_LIMIT_MS * 2);
    return pair.getAdoption(2, 2) - writtenAt;
}

// Guards against a host that keeps an old configuration because its coordinator renews its lease while its reads of the table get no answer.
test.each([0, 300, 900])(
    "a configuration is adopted in time while the coordinator's reads get no answer for %s ms before",
    async delay => {
        const adoption = await measureAdoption(({ hosts: [coordinator] }) => {
            coordinator!.configuration.isSilent = true;
        }, delay);
        expect(adoption).toBeLessThanOrEqual(APPLY_LIMIT_MS);
    },
);

test.each([0, 300, 900])(
    "a configuration is adopted in time when the coordinator is partitioned from the store for %s ms before",
    async delay => {
        const adoption = await measureAdoption(({ hosts: [coordinator] }) => {
            coordinator!.configuration.isSilent = true;
            coordinator!.servers.isSilent = true;
            coordinator!.leases.isCutOff = true;
        }, delay);
        expect(adoption).toBeLessThanOrEqual(APPLY_LIMIT_MS);
    },
);

test("a configuration is adopted at once while nothing fails", async () => {
    expect(await measureAdoption(() => undefined, 0)).toBeLessThan(300);
});
