import type { Milliseconds } from "@arbutusdoor/common";

/** A partition of a server, from the newest coordinator only or from all. */
export type Partition = { readonly until: Milliseconds; readonly isOneSided: boolean; };
