import { getAttestationKey } from "@arbutusdoor/configuration";
import type { GrantorList } from "../rows/grantorList.js";
import type { HostState } from "../state/hostState.js";

/** Whether an operator has attested that an incarnation of an entry host is lost. */
export function isHostAttestedLost(state: HostState, grantor: GrantorList["grantors"][number]): boolean {
    const { host, incarnation } = grantor;
    return state.coordinator.attestations[getAttestationKey({ kind: "host", host, incarnation })]
        !== undefined;
}
