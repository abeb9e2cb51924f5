import type { RowKey } from "@arbutusdoor/common";
import { ATTESTATION_PREFIX } from "./attestationPrefix.js";
import type { Loss } from "./loss.js";

/** Returns the key of the row that records a loss. Names contain no slash, so no two losses share a key. */
export function getAttestationKey(loss: Loss): RowKey {
    switch (loss.kind) {
        case "server":
            return `${ATTESTATION_PREFIX}server/${loss.server}/${loss.incarnation}` as RowKey;
        case "host":
            return `${ATTESTATION_PREFIX}host/${loss.host}/${loss.incarnation}` as RowKey;
        case "dataCentre":
            return `${ATTESTATION_PREFIX}dataCentre/${loss.dataCentre}` as RowKey;
    }
}
