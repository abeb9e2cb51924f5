import type { Brand } from "./brand.js";

/** Identifies one write to the table service, so that its result can be read back when the answer is lost. */
export type OperationId = Brand<"OperationId">;
