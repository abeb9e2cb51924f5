import { ServiceToken } from "../kernel/serviceToken.js";
import type { OwnershipDriver } from "./ownershipDriver.js";

/** This host's view of key ownership and its part in changing it. */
export const OWNERSHIP = new ServiceToken<OwnershipDriver>("ownership");
