import * as z from "zod";
import { nameSchema } from "./names.js";
import { Server } from "./server.js";
import { Service } from "./service.js";

/** Everything that an operator declares; kept in version control and submitted whole. */
const Declaration = z.strictObject({
    format: z.literal(1),
    tenant: nameSchema,
    dataCentres: z.array(nameSchema).min(1),
    services: z.array(Service),
    servers: z.array(Server),
});

type Declaration = z.infer<typeof Declaration>;

export { Declaration };
