import type { ServiceId } from "@arbutusdoor/common";
import { getSlicePath } from "../lookups/getSlicePath.js";
import type { FormerHolder } from "../rows/formerHolder.js";

/** Key of the stop proof of a former holder. */
export function getStopProofKey(
    service: ServiceId,
    former: Pick<FormerHolder, "server" | "incarnation" | "slice" | "fence">,
): string {
    return `${getSlicePath(service, former.slice)}/${former.fence}/${former.server}/${former.incarnation}`;
}
