import type { OperationId } from "@arbutusdoor/common";
import type { ConfigurationVersion } from "../configurationVersion.js";

/** A checked declaration on its way to the table service. */
export type Submission = {
    readonly operationId: OperationId;
    /** Version on which the operator based the declaration. */
    readonly baseVersion: number;
    /** The declaration with the version number that it gets when it is accepted. */
    readonly next: ConfigurationVersion;
};
