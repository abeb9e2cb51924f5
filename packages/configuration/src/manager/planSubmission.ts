import type { TableTransaction } from "@arbutusdoor/clients";
import type { ConfigurationHistory } from "../store/configurationHistory.js";
import { CONFIGURATION_KEYS } from "../store/configurationKeys.js";
import type { StoredConfiguration } from "../store/storedConfiguration.js";
import type { Submission } from "./submission.js";
import type { SubmissionPlan } from "./submissionPlan.js";

/**
 * Decides the next step of a submission from the stored rows. If the head row is below the version in force (an old copy of
 * the store was restored), the submission counts from the version in force and overwrites the row, so that versions keep
 * increasing.
 */
export function planSubmission(
    submission: Submission,
    stored: StoredConfiguration,
    versionInForce: number,
    historyLength: number,
): SubmissionPlan {
    const { operationId, baseVersion, next } = submission;
    const recorded = stored.history.operations.find(operation => operation.operationId === operationId);
    if (recorded) {
        const isSame = recorded.digest === next.digest;
        return isSame ? { kind: "recorded", version: recorded.version } : { kind: "reused" };
    }
    const currentVersion = Math.max(stored.head?.version ?? 0, versionInForce);
    if (currentVersion !== baseVersion) {
        const isCovered = containsVersions(stored.history, baseVersion + 1, currentVersion);
        return { kind: "conflict", currentVersion, isCovered };
    }
    return { kind: "write", transaction: createTransaction(submission, stored, historyLength) };
}

function containsVersions({ operations }: ConfigurationHistory, from: number, to: number): boolean {
    const oldest = operations.at(0)?.version ?? Infinity;
    const newest = operations.at(-1)?.version ?? 0;
    return oldest <= from && newest >= to;
}

function createTransaction(
    { operationId, next }: Submission,
    stored: StoredConfiguration,
    historyLength: number,
): TableTransaction {
    const { version, digest } = next;
    const operations = [...stored.history.operations, { operationId, version, digest }].slice(-historyLength);
    return {
        operationId,
        writes: [
            {
                key: CONFIGURATION_KEYS.head,
                expectedVersion: stored.headRowVersion,
                value: { version, digest },
            },
            {
                key: CONFIGURATION_KEYS.history,
                expectedVersion: stored.historyRowVersion,
                value: { operations },
            },
        ],
    };
}
