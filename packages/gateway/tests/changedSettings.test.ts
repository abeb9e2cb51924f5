import { expect, test } from "vitest";
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
