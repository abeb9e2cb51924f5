import type { ClassProfile } from "./classProfile.js";

/** A service of one of the users, at the size of today. */
export type ServiceProfile = {
    readonly name: string;
    readonly servers: number;
    readonly slots: number;
    readonly connections: number;
    readonly classes: readonly ClassProfile[];
    /** Different keys of a keyed service. */
    readonly keys: number;
    /** Exponent of the Zipf distribution over the keys. */
    readonly skew: number;
    /** Share of the requests that go to the present hot key beyond its ordinary ones. */
    readonly hotShare: number;
};
