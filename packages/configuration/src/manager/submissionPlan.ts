import type { TableTransaction } from "@arbutusdoor/clients";

/**
 * Next step of a submission: return its `recorded` version, refuse a `reused` operation id, report a `conflict` with the
 * version in force (`isCovered` if the history proves that the submission was never accepted), or `write`.
 */
export type SubmissionPlan =
    | { readonly kind: "recorded"; readonly version: number; }
    | { readonly kind: "reused"; }
    | { readonly kind: "conflict"; readonly currentVersion: number; readonly isCovered: boolean; }
    | { readonly kind: "write"; readonly transaction: TableTransaction; };
