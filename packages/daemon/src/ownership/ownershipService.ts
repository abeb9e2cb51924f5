import { ServiceToken } from "../kernel/serviceToken.js";
import type { OwnershipDriver } from "./ownershipDriver.js";

/** Ownership of keys, as this host knows and shapes it. */
export const OWNERSHIP = new ServiceToken<OwnershipDriver>("ownership");
