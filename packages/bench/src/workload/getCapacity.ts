import type { ServiceProfile } from "./serviceProfile.js";

const MS_IN_SECOND = 1_000;

/** Requests a second that keep all slots of a service busy. */
export function getCapacity({ servers, slots, classes }: ServiceProfile): number {
    const work = classes.reduce((sum, { share, work: mean }) => sum + share * mean, 0);
    return servers * slots * MS_IN_SECOND / work;
}
