import type { Milliseconds } from "@arbutusdoor/common";
import type { Objective } from "@arbutusdoor/configuration";
import type { LoadReport } from "./loadReport.js";
import type { MoveHistory } from "./moveHistory.js";
import type { MovePlanSettings } from "./movePlanSettings.js";
import type { PlaceableServer } from "./placeableServer.js";
import type { PlacedSlice } from "./placedSlice.js";

/** Input of move planning. All times are of the same clock. */
export type MovePlanInput = {
    readonly assignment: readonly PlacedSlice[];
    readonly loads: LoadReport;
    readonly servers: readonly PlaceableServer[];
    readonly objective: Pick<
        Objective,
        "imbalance" | "churn" | "unavailability" | "restMs" | "movesPerMinute"
    >;
    readonly now: Milliseconds;
    /** At least the changes of the last `restMs` and of the last minute. */
    readonly history: MoveHistory;
    readonly settings: MovePlanSettings;
};
