import type { DataCentreId, HostId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { HostSettings } from "../src/settings/hostSettings.js";
import { HostPair } from "./support/hostPair.js";

test("a host takes over a changed address of the store once, and logs it", async () => {
    const pair = new HostPair();
    await pair.start();
    const { host, lines, settings, storeAddresses } = pair.hosts[0]!;
    const storeAddress = "10.200.1.8:8541";
    host.applySettings(settings);
    host.applySettings({ ...settings, storeAddress });
    host.applySettings({ ...settings, storeAddress });
    expect(storeAddresses).toEqual([storeAddress]);
    expect(lines.filter(({ event }) => event === "storeAddressChanged").map(({ fields }) => fields)).toEqual([
        { before: settings.storeAddress, address: storeAddress },
    ]);
});

// Guards against an operator who takes changed settings for effective although the process read them at its start only.
test("changed settings that need a restart are named until the file is as at the start", async () => {
    const pair = new HostPair();
    await pair.start();
    const { host, settings } = pair.hosts[0]!;
    const changed: HostSettings = {
        host: "host-9" as HostId,
        ip: "127.0.0.9",
        dataCentre: "south" as DataCentreId,
        callerAddress: "127.0.0.9:1",
        readinessAddress: "127.0.0.9:2",
        linkPort: 3,
        storeAddress: "127.0.0.9:4",
        descriptorLimit: 5,
        memoryBytes: 6,
        processorCores: 7,
        bounds: {
            drainMs: 1,
            applyMs: 2,
            graceMs: 3,
            maxHoldMs: 4,
            retryShare: 5,
            retryWindowMs: 6,
            retryAllowance: 7,
            coldOvershoot: 8,
            coldSlack: 9,
            evacuationMs: 10,
        },
    };
    const pending = [
        "host",
        "ip",
        "dataCentre",
        "callerAddress",
        "readinessAddress",
        "linkPort",
        "processorCores",
        "maxHoldMs",
    ];
    expect(host.applySettings(changed)).toEqual(pending);
    expect(host.applySettings(changed)).toEqual(pending);
    expect(host.applySettings(settings)).toEqual([]);
});
