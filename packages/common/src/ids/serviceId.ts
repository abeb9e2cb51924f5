import type { Brand } from "./brand.js";

/** Name of a service, as its declaration gives it; the first segment of a caller's path. */
export type ServiceId = Brand<"ServiceId">;
