import type { OperationId } from "@arbutusdoor/common";
import type { ConfigurationVersion } from "../configurationVersion.js";

/** A checked declaration on its way to the table service. */
export type Submission = {
    readonly operationId: OperationId;
    /** Version that the operator had before them. */
    readonly baseVersion: number;
    /** The declaration, numbered as it will be when it is accepted. */
    readonly next: ConfigurationVersion;
};
