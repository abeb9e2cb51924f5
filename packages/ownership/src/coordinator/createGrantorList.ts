import type { GrantorList } from "../rows/grantorList.js";
import type { OwnershipSettings } from "../settings/ownershipSettings.js";

const MIN_GRANTORS_FOR_SUPPORT = 3;

/** Creates a grantor list. With fewer than three grantors, requiring each other's support would only add ways to fail. */
export function createGrantorList(
    settings: OwnershipSettings,
    listVersion: number,
    grantors: GrantorList["grantors"],
): GrantorList {
    const promises = grantors.length >= MIN_GRANTORS_FOR_SUPPORT ? settings.promisesPerGrantor : 1;
    return { listVersion, grantors, promises };
}
