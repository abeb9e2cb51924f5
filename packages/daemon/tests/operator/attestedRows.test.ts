import { ManualClock, type OperationId, RandomSource } from "@arbutusdoor/common";
import { attestLoss, ConfigurationSettings, type Loss } from "@arbutusdoor/configuration";
import { AttestedRow, ROW_KEYS } from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { MemoryTable } from "../../../configuration/tests/fakes/memoryTable.js";

test("the decider reads every attestation that an operator's call writes", async () => {
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
    expect(rows.map(({ key }) => key)).toEqual([
        ROW_KEYS.attestedServer("board-1" as never, "i-1" as never),
        ROW_KEYS.attestedHost("host-1" as never, "h-1" as never),
        ROW_KEYS.attestedDataCentre("north" as never),
    ]);
    expect(rows.map(({ value }) => AttestedRow.parse(value))).toEqual(
        losses.map(loss => ({ ...loss, operationId: `attest-${loss.kind}` })),
    );
});
