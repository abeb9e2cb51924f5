import { z } from "zod";
import { nameSchema } from "./names.js";

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i;

/** A backend server. */
const Server = z.strictObject({
    name: nameSchema,
    dataCentre: nameSchema,
    service: nameSchema,
    /** IP number and port. */
    address: z.string().regex(ADDRESS_PATTERN, "must be an IP number and a port, such as 10.0.0.7:8080"),
    /** Requests that the server runs at a time. */
    slots: z.int().min(1).max(10_000).default(4),
    /** Connections that it accepts from all hosts together. */
    connections: z.int().min(1).max(100_000).default(50),
    /** Whether the server checks who gives it an order and which generation it names. */
    checksOrders: z.boolean().default(true),
    /** True when the operator wants it empty. */
    isDraining: z.boolean().default(false),
});

type Server = z.infer<typeof Server>;

export { Server };
