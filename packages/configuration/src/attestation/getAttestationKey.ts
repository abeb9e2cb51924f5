import type { RowKey } from "@arbutusdoor/common";
import { ATTESTATION_PREFIX } from "./attestationPrefix.js";
import type { Loss } from "./loss.js";

/** Key of the row that records a loss. Names are escaped, so that no name reaches into another row. */
export function getAttestationKey(loss: Loss): RowKey {
    if (loss.kind === "dataCentre") {
        return `${ATTESTATION_PREFIX}data-centre/${encodeURIComponent(loss.dataCentre)}` as RowKey;
    }
    const incarnation = encodeURIComponent(loss.incarnation);
    return `${ATTESTATION_PREFIX}server/${encodeURIComponent(loss.server)}/${incarnation}` as RowKey;
}
