import type { GrantorList } from "../rows/grantorList.js";

/** Name of one run of an entry host. */
export function getRunName({ host, incarnation }: GrantorList["grantors"][number]): string {
    return `${host}/${incarnation}`;
}
