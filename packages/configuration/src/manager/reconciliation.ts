import type { ConfigurationVersion } from "../configurationVersion.js";

/**
 * What to do with an offered configuration: `adopt` it, keep the one in force because it is the `same` or the offered
 * one is `older`, or refuse it as `diverged` (same version, other digest) or `rejected` (malformed).
 */
export type Reconciliation =
    | { readonly kind: "adopt"; readonly next: ConfigurationVersion; }
    | { readonly kind: "same"; }
    | { readonly kind: "older"; }
    | { readonly kind: "diverged"; }
    | { readonly kind: "rejected"; readonly reason: string; };
