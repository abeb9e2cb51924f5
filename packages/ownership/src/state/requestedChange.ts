import type { ServerId, ServiceId, SliceId } from "@arbutusdoor/common";

/** A planned change for balance that waits for its turn. */
export type RequestedChange =
    | {
        readonly kind: "move";
        readonly service: ServiceId;
        readonly slice: SliceId;
        readonly to: ServerId;
    }
    | {
        readonly kind: "split";
        readonly service: ServiceId;
        readonly slice: SliceId;
        readonly key: string;
    };
