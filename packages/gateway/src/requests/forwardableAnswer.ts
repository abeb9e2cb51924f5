import type { HeaderFields } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** An answer that can be passed on: read whole, or longer and still arriving. */
export type ForwardableAnswer =
    | {
        readonly kind: "whole";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Uint8Array;
    }
    | {
        readonly kind: "stream";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
    };
