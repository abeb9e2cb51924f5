import type { KeyRange } from "../orders/keyRange.js";
import type { KeyHolder } from "./keyHolder.js";
import type { RangePart } from "./rangePart.js";

/** Load that a plan assigns to a server. */
export type ServerUsage = {
    readonly holder: KeyHolder;
    readonly capacity: number;
    /** Utilization at which its callers hardly wait. */
    readonly comfortable: number;
    /** Utilization from which its callers feel it. */
    readonly felt: number;
    /** Utilization from which it is overloaded. */
    readonly overloaded: number;
    /** Requests a second. */
    load: number;
    readonly lastingLoad: number;
    /** Whether it is kept for a hot key. */
    isReserved: boolean;
    /** Ranges that may be moved, with the loads of their keys. */
    readonly ranges: {
        readonly range: KeyRange;
        readonly loads: readonly (readonly [key: number, load: number])[];
    }[];
    /** Runs of neighbouring parts that may be moved, empty until its ranges are split. */
    runs: readonly (readonly RangePart[])[];
};
