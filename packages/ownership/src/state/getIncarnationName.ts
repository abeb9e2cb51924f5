import type { GrantorList } from "../rows/grantorList.js";

/** Name of one incarnation of an entry host. */
export function getIncarnationName({ host, incarnation }: GrantorList["grantors"][number]): string {
    return `${host}/${incarnation}`;
}
