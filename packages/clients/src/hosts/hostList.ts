import type { HostListing } from "./hostListing.js";

/** The platform's list of live and leaving hosts. It is a hint, not evidence that a host runs. Calls never reject. */
export abstract class HostList {
    /** Reads the current list. */
    abstract list(): Promise<HostListing>;
}
