import type { Brand } from "./brand.js";

/** Name of a data centre. */
export type DataCentreId = Brand<"DataCentreId">;
