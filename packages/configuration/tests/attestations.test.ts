import type { OperationId } from "@arbutusdoor/common";
import { attestLoss, ConfigurationSettings, type Loss, readAttestations } from "@arbutusdoor/configuration";
import { expect, test } from "vitest";
import { ConfigurationSimulation } from "./configurationSimulation.js";

const SERVER_LOSS: Loss = { kind: "server", server: "board-1", incarnation: "a/b" };
const HOST_LOSS: Loss = { kind: "host", host: "host-1", incarnation: "host-1-x" };
const DATA_CENTRE_LOSS: Loss = { kind: "dataCentre", dataCentre: "north" };

test("a loss is recorded once, even after a lost answer and by a second operator", async () => {
    const simulation = new ConfigurationSimulation();
    simulation.clock.advance(5_000);
    const settings = ConfigurationSettings.parse({});
    const attest = async (loss: Loss, by: string, operation: string) => {
        const attesting = attestLoss(loss, by, operation as OperationId, { ...simulation, settings });
        simulation.record(`${by}: ${JSON.stringify(await simulation.settle(attesting))}`);
    };
    simulation.table.writeFaults = ["lostAfter"];
    await attest(SERVER_LOSS, "marshal", "first");
    await attest(SERVER_LOSS, "warden", "second");
    simulation.table.writeFaults = ["lostBefore", "lostBefore", "lostBefore", "lostBefore", "lostBefore"];
    await attest(DATA_CENTRE_LOSS, "marshal", "third");
    simulation.table.isDown = true;
    await attest(DATA_CENTRE_LOSS, "marshal", "fourth");
    simulation.table.isDown = false;
    await attest(DATA_CENTRE_LOSS, "marshal", "fifth");
    simulation.record(JSON.stringify(await readAttestations(simulation.table)));
    await attest(HOST_LOSS, "marshal", "sixth");
    simulation.record([...simulation.table.copy().keys()].join(" "));
    await expect(simulation.print()).toMatchFileSnapshot("golden/attestations.txt");
});
