import type { DeliveryStatus } from "../protocol/deliveryStatus.js";
import type { RequestRecord } from "./requestRecord.js";

/** The status to report, or `wait` while the request still runs here. */
type StatusReply = DeliveryStatus | { readonly kind: "wait"; };

/**
 * Determines what to report about a request whose link was lost; `notReceived` only when it is certain. Requests arrive in
 * order on a link, so a stream number above the last one received there proves it, even if the request id is no longer recorded.
 * @param record what is recorded about the request id
 * @param lastStream number of the last request received on the lost link; `undefined` when the link is no longer recorded
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
