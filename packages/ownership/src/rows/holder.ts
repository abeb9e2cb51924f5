import type { ServerId, ServerIncarnation } from "@arbutusdoor/common";
import * as z from "zod";

/** A server's right to hold slices: one incarnation of it, under one epoch of its lease. It ends for good when the epoch grows. */
const Holder = z.object({
    server: z.string().transform(name => name as ServerId),
    incarnation: z.string().transform(name => name as ServerIncarnation),
    epoch: z.int(),
});

type Holder = Readonly<z.infer<typeof Holder>>;

export { Holder };
