import * as z from "zod";

/** Body of `GET /v1/configuration`; version 0 without a declaration means that there is none yet. */
const ConfigurationView = z.object({
    version: z.int().min(0),
    digest: z.string().optional(),
    declaration: z.unknown().optional(),
});

type ConfigurationView = z.infer<typeof ConfigurationView>;

export { ConfigurationView };
