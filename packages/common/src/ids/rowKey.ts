import type { Brand } from "./brand.js";

/** Key of a row in the table service. */
export type RowKey = Brand<"RowKey">;
