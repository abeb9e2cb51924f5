import type { HeaderFields } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** An answer that can be forwarded to the caller: completely read, or a longer one that is still arriving. */
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
