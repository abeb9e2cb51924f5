import type { TableTransaction } from "@arbutusdoor/clients";

/**
 * What a submission has to do next: answer with its `recorded` version, refuse a `reused` operation id, report a
 * `conflict` with the version in force (`isCovered` when the history proves that it was never accepted), or `write`.
 */
export type SubmissionPlan =
    | { readonly kind: "recorded"; readonly version: number; }
    | { readonly kind: "reused"; }
    | { readonly kind: "conflict"; readonly currentVersion: number; readonly isCovered: boolean; }
    | { readonly kind: "write"; readonly transaction: TableTransaction; };
