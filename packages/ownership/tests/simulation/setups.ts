import type { SimulationSetup } from "./simulationSetup.js";

/** Setups that several tests use. */
export const SETUPS = {
    oneCentre: {
        seed: 1,
        centres: { north: { hosts: ["e1", "e2", "e3", "e4"], servers: ["b1", "b2", "b3", "b4"] } },
    },
    twoCentres: {
        seed: 2,
        centres: {
            north: { hosts: ["n1", "n2", "n3"], servers: ["nb1", "nb2"] },
            south: { hosts: ["s1", "s2", "s3"], servers: ["sb1", "sb2"] },
        },
    },
} as const satisfies Record<string, SimulationSetup>;
