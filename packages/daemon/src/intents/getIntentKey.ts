import { getDigest, type RowKey } from "@arbutusdoor/common";
import type { IntentRequest } from "./intentRequest.js";

/** Returns the key of the row that holds a request's intent. */
export function getIntentKey(request: IntentRequest): RowKey {
    const { tenant, service, key, idempotencyKey } = request;
    const identity = [tenant, service, key ?? "", idempotencyKey];
    return `intent/${service}/${getDigest(JSON.stringify(identity))}` as RowKey;
}
