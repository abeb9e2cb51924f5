import type { ClassId } from "@arbutusdoor/common";
import type { ClassProfile } from "./classProfile.js";
import type { ServiceProfile } from "./serviceProfile.js";

const READ: ClassProfile = {
    classId: "read" as ClassId,
    share: 0.9,
    work: 20,
    deadline: 500,
    priority: 20,
    isIdempotent: true,
    retries: 2,
};

const ONCE: ClassProfile = {
    classId: "once" as ClassId,
    share: 0.1,
    work: 30,
    deadline: 2_000,
    priority: 80,
    isIdempotent: false,
    retries: 2,
};

const UPLOAD: ClassProfile = {
    classId: "upload" as ClassId,
    share: 1,
    work: 1_500,
    deadline: 30_000,
    priority: 50,
    isIdempotent: false,
    retries: 2,
};

const AQABA = { slots: 4, connections: 110, keys: 400, skew: 0.9, hotShare: 0.08 };
const LIMA = { slots: 3, connections: 50, keys: 1_500, skew: 0.8, hotShare: 0.04 };

/** The services of both users, at the sizes of today. */
export const PROFILES = {
    gustboard: { name: "gustboard", servers: 20, classes: [READ, ONCE], ...AQABA },
    shorepermit: { name: "shorepermit", servers: 6, classes: [READ, ONCE], ...AQABA },
    loghold: { name: "loghold", servers: 6, classes: [UPLOAD], ...AQABA },
    agenda: { name: "agenda", servers: 20, classes: [READ, ONCE], ...LIMA },
    reservas: {
        name: "reservas",
        servers: 10,
        classes: [{ ...READ, share: 0.6 }, { ...ONCE, share: 0.4 }],
        ...LIMA,
    },
    tallerFotos: { name: "taller-fotos", servers: 8, classes: [UPLOAD], ...LIMA },
} as const satisfies Record<string, ServiceProfile>;
