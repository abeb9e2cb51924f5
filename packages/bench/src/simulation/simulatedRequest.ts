import type { Milliseconds } from "@arbutusdoor/common";
import type { ClassProfile } from "../workload/classProfile.js";

/** One request of a simulated caller. */
export type SimulatedRequest = {
    readonly id: number;
    readonly profile: ClassProfile;
    readonly key: string;
    /** Slot time that it takes on a healthy server. */
    readonly work: Milliseconds;
    readonly arrivedAt: Milliseconds;
    readonly deadlineAt: Milliseconds;
};
