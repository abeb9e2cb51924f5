import type { HostListing } from "./hostListing.js";

/** The platform's list of live and leaving hosts: a hint, never proof. Calls never reject. */
export abstract class HostList {
    /** Reads the list as the platform now sees it. */
    abstract list(): Promise<HostListing>;
}
