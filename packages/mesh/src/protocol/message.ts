import type { HeaderFields, Refusal, RequestId } from "@arbutusdoor/common";
import type { RelayRequest } from "../relay/relayRequest.js";
import type { DeliveryStatus } from "./deliveryStatus.js";

/**
 * A message on an open link. Streams are numbered by the host that hands over the request: odd numbers by the one
 * that dialled the link, even ones by the other. Numbers only grow and are never used again on the link.
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
    /** A piece of the request's or the answer's body, which begins at `offset`. */
    | { readonly kind: "data"; readonly stream: number; readonly offset: number; readonly bytes: Uint8Array; }
    /** The body of the sender's direction is whole, with that many bytes. */
    | { readonly kind: "end"; readonly stream: number; readonly length: number; }
    /** The body of the sender's direction broke off. */
    | { readonly kind: "broken"; readonly stream: number; }
    /** The receiver of a body has room for that many bytes more. */
    | { readonly kind: "credit"; readonly stream: number; readonly bytes: number; }
    /** The asker no longer wants the answer. */
    | { readonly kind: "cancel"; readonly stream: number; }
    /** The rest of the request's body is not wanted. */
    | { readonly kind: "unwanted"; readonly stream: number; }
    /** What became of a request that was handed over on a lost link, named by the receiver's serial of that link. */
    | { readonly kind: "ask"; readonly id: RequestId; readonly link: number; readonly stream: number; }
    | { readonly kind: "verdict"; readonly id: RequestId; readonly verdict: DeliveryStatus; };
