import type { Brand } from "./brand.js";

/** Name of a service, as given in its declaration; the first segment of a caller's path. */
export type ServiceId = Brand<"ServiceId">;
