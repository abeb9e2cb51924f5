import type { ListedHost } from "./listedHost.js";

/** Result of reading the host list. */
export type HostListing =
    | { readonly kind: "hosts"; readonly hosts: readonly ListedHost[]; }
    | { readonly kind: "unavailable"; readonly reason: string; };
