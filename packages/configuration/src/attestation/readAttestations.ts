import type { TableService } from "@arbutusdoor/clients";
import { Attestation } from "./attestation.js";
import { ATTESTATION_PREFIX } from "./attestationPrefix.js";
import type { AttestationReading } from "./attestationReading.js";

/** Reads every recorded loss. Malformed rows are left out, as they attest nothing. */
export async function readAttestations(table: TableService): Promise<AttestationReading> {
    const read = await table.scan(ATTESTATION_PREFIX);
    if (read.kind === "unavailable") {
        return read;
    }
    const attestations: Attestation[] = [];
    for (const row of read.rows) {
        const parsed = Attestation.safeParse(row.value);
        if (parsed.success) {
            attestations.push(parsed.data);
        }
    }
    return { kind: "attestations", attestations };
}
