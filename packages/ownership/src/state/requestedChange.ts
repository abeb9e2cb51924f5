import type { ServerId, ServiceId, SliceId } from "@arbutusdoor/common";

/** A requested move or split that has not been made yet. */
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
