import {
    type DataCentreId,
    type HostId,
    type HostIncarnation,
    ManualClock,
    type OperationId,
    RandomSource,
} from "@arbutusdoor/common";
import { attestLoss, ConfigurationSettings, type Loss } from "@arbutusdoor/configuration";
import { createHostState, dispatch, OwnershipSettings } from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { MemoryTable } from "../../../configuration/tests/fakes/memoryTable.js";

const SELF = {
    host: "entry-1" as HostId,
    incarnation: "entry-1-a" as HostIncarnation,
    dataCentre: "south" as DataCentreId,
    address: "127.0.0.1:1",
};

test("the coordinator reads every attestation that an operator's call writes", async () => {
    const table = new MemoryTable();
    const ports = { clock: new ManualClock(), table, random: new RandomSource(1) };
    const settings = ConfigurationSettings.parse({});
    const losses: Loss[] = [
        { kind: "server", server: "board-1", incarnation: "i-1" },
        { kind: "host", host: "host-1", incarnation: "h-1" },
        { kind: "dataCentre", dataCentre: "north" },
    ];
    for (const loss of losses) {
        await attestLoss(loss, "marshal", `attest-${loss.kind}` as OperationId, { ...ports, settings });
    }
    const rows = [...table.copy().values()];
    const state = createHostState(SELF, OwnershipSettings.parse({}));
    const step = dispatch(state, { kind: "peerMessage", from: SELF, message: { kind: "rows", rows } }, 1);
    const known = Object.entries(step.state.coordinator.attestations).map(([key, { value }]) => ({
        key,
        loss: value,
    }));
    expect(known).toEqual(
        rows.map(({ key, value }) => ({ key, loss: expect.objectContaining(value as object) })),
    );
    expect(known.length).toBe(losses.length);
});
