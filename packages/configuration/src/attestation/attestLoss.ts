import type { OperationId } from "@arbutusdoor/common";
import { getBackoffMs } from "../manager/getBackoffMs.js";
import type { SubmissionPorts } from "../manager/submissionPorts.js";
import { Attestation } from "./attestation.js";
import type { AttestOutcome } from "./attestOutcome.js";
import { getAttestationKey } from "./getAttestationKey.js";
import type { Loss } from "./loss.js";

type Ports = Omit<SubmissionPorts, "objects">;
type Step = AttestOutcome | {
    readonly kind: "again";
    readonly reason: string;
    readonly mayHaveRun: boolean;
};

/** Records an operator's attestation of a loss. A loss that is already recorded keeps its first attestation. */
export async function attestLoss(
    loss: Loss,
    by: string,
    operationId: OperationId,
    ports: Ports,
): Promise<AttestOutcome> {
    const attestation = { ...loss, by, attestedAt: ports.clock.wallTime(), operationId };
    let mayHaveRun = false;
    let reason = "";
    for (let attempt = 0; attempt <= ports.settings.attempts; attempt++) {
        if (attempt > 0) {
            await ports.clock.sleep(getBackoffMs(attempt, ports.settings, ports.random));
        }
        const mayWrite = attempt < ports.settings.attempts;
        const step = await attest(attestation, ports, mayWrite);
        if (step.kind !== "again") {
            return step;
        }
        mayHaveRun ||= step.mayHaveRun;
        reason = mayWrite ? step.reason : reason;
    }
    return { kind: mayHaveRun ? "unknown" : "notRun", reason };
}

async function attest(attestation: Attestation, { table }: Ports, mayWrite: boolean): Promise<Step> {
    const key = getAttestationKey(attestation);
    const read = await table.read([key]);
    if (read.kind === "unavailable") {
        return { kind: "again", reason: read.reason, mayHaveRun: false };
    }
    const row = read.rows[0];
    const recorded = Attestation.safeParse(row?.value);
    if (recorded.success) {
        return { kind: "recorded", attestation: recorded.data };
    }
    if (!mayWrite) {
        return { kind: "again", reason: "no attempts are left", mayHaveRun: false };
    }
    const { operationId } = attestation;
    const writes = [{ key, expectedVersion: row?.version ?? 0, value: attestation }];
    const outcome = await table.transact({ operationId: operationId as OperationId, writes });
    switch (outcome.kind) {
        case "committed":
            return { kind: "recorded", attestation };
        case "conflict":
            return { kind: "again", reason: "other writes were faster", mayHaveRun: false };
        case "notRun":
            return { kind: "again", reason: outcome.reason, mayHaveRun: false };
        case "unknown":
            return { kind: "again", reason: outcome.reason, mayHaveRun: true };
    }
}
