import * as z from "zod";

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** Lower-case letters, digits and hyphens, 63 at most: names of tenants, services, classes, servers and data centres. */
export const nameSchema = z.string().regex(
    NAME_PATTERN,
    "must be 1 to 63 lower-case letters, digits or hyphens",
);
