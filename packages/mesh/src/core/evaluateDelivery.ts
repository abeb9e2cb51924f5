import type { DeliveryStatus } from "../protocol/deliveryStatus.js";
import type { RequestRecord } from "./requestRecord.js";

/** What to say about a request, or to wait until it has ended here. */
type StatusReply = DeliveryStatus | { readonly kind: "wait"; };

/**
 * Answers an ask truthfully: `notReceived` only when it is certain. Requests arrive in order on a link, so a stream number
 * above the last one received there proves it, however much has been forgotten.
 * @param record what is known of the request id
 * @param lastStream number of the last request received on the lost link; `undefined` when the link is forgotten
 */
export function evaluateDelivery(
    record: RequestRecord | undefined,
    stream: number,
    lastStream: number | undefined,
): StatusReply {
    switch (record?.kind) {
        case "running":
            return { kind: "wait" };
        case "ran":
            return { kind: "received" };
        case "barred":
            return { kind: "notReceived" };
        case "refused":
            return record;
        case undefined:
            break;
    }
    const isNotReceived = lastStream !== undefined && stream > lastStream;
    return { kind: isNotReceived ? "notReceived" : "received" };
}
