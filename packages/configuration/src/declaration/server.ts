import * as z from "zod";
import { nameSchema } from "./names.js";

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i;

/** A backend server. */
const Server = z.strictObject({
    name: nameSchema,
    dataCentre: nameSchema,
    service: nameSchema,
    /** IP address and port. */
    address: z.string().regex(ADDRESS_PATTERN, "must be an IP number and a port, such as 10.0.0.7:8080"),
    /** Number of requests that the server runs concurrently. */
    slots: z.int().min(1).max(10_000).default(4),
    /** Number of connections that the server accepts from all hosts together. */
    connections: z.int().min(1).max(100_000).default(50),
    /** Whether the server checks the sender of an order and its fencing token (`generation`). */
    checksOrders: z.boolean().default(true),
    /** Whether the operator wants the server to be emptied. */
    isDraining: z.boolean().default(false),
});

type Server = z.infer<typeof Server>;

export { Server };
