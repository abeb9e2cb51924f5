import type { ConfigurationVersion } from "../configurationVersion.js";
import type { OfferedConfiguration } from "../offeredConfiguration.js";
import { readBody } from "./readBody.js";
import type { Reconciliation } from "./reconciliation.js";

/** Evaluates an offered configuration: adopts only a higher version whose text matches its digest, never an older one. */
export function reconcileConfiguration(
    current: ConfigurationVersion | undefined,
    offered: OfferedConfiguration,
): Reconciliation {
    const version = current?.version ?? 0;
    if (offered.version < version) {
        return { kind: "older" };
    }
    if (offered.version === version) {
        return current && offered.digest !== current.digest ? { kind: "diverged" } : { kind: "same" };
    }
    const read = readBody(offered.body, offered.digest);
    if (read.kind === "malformed") {
        return { kind: "rejected", reason: read.reason };
    }
    const { digest, body } = offered;
    return { kind: "adopt", next: { version: offered.version, digest, body, declaration: read.declaration } };
}
