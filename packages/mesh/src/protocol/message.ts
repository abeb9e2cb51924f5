import type { HeaderFields, Refusal, RequestId } from "@arbutusdoor/common";
import type { RelayRequest } from "../relay/relayRequest.js";
import type { DeliveryStatus } from "./deliveryStatus.js";

/**
 * A message on an open link. The host that sends a request allocates its stream number: odd numbers by the one that
 * dialled the link, even ones by the other. Numbers increase and are never reused on the link.
 */
export type Message =
    | { readonly kind: "heartbeat"; }
    | { readonly kind: "control"; readonly payload: unknown; }
    | { readonly kind: "request"; readonly stream: number; readonly request: RelayRequest; }
    | {
        readonly kind: "answer";
        readonly stream: number;
        readonly id: RequestId;
        readonly status: number;
        readonly headers: HeaderFields;
    }
    | {
        readonly kind: "refusal";
        readonly stream: number;
        readonly id: RequestId;
        readonly refusal: Refusal;
    }
    /** A chunk of the request's or the answer's body, starting at `offset`. */
    | { readonly kind: "data"; readonly stream: number; readonly offset: number; readonly bytes: Uint8Array; }
    /** The sender's body is complete; `length` is its size in bytes. */
    | { readonly kind: "end"; readonly stream: number; readonly length: number; }
    /** The sender's body is truncated. */
    | { readonly kind: "broken"; readonly stream: number; }
    /** The receiver of a body accepts that many more bytes. */
    | { readonly kind: "credit"; readonly stream: number; readonly bytes: number; }
    /** The requesting host no longer needs the answer. */
    | { readonly kind: "cancel"; readonly stream: number; }
    /** The rest of the request's body is not needed. */
    | { readonly kind: "unwanted"; readonly stream: number; }
    /** Queries the status of a request sent on a lost link; `link` is the receiver's serial of that link. */
    | { readonly kind: "ask"; readonly id: RequestId; readonly link: number; readonly stream: number; }
    | { readonly kind: "verdict"; readonly id: RequestId; readonly verdict: DeliveryStatus; };
