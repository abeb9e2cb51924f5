import type { GrantorList } from "../rows/grantorList.js";
import type { OwnershipSettings } from "../settings/ownershipSettings.js";

const FEWEST_FOR_PROMISES = 3;

/** A list of grantors. With fewer than three, promises among them would only add ways to fail. */
export function createGrantorList(
    settings: OwnershipSettings,
    listVersion: number,
    grantors: GrantorList["grantors"],
): GrantorList {
    const promises = grantors.length >= FEWEST_FOR_PROMISES ? settings.promisesPerGrantor : 1;
    return { listVersion, grantors, promises };
}
