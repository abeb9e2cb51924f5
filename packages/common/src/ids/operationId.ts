import type { Brand } from "./brand.js";

/** Identifies one write to the table service, so that a lost answer can be read back. */
export type OperationId = Brand<"OperationId">;
