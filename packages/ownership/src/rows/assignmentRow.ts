import type { ServiceId } from "@arbutusdoor/common";
import * as z from "zod";
import { Slice } from "./slice.js";

/** Value of an assignment row: the owners of one shard of a service's slices. */
const AssignmentRow = z.object({
    service: z.string().transform(name => name as ServiceId),
    shard: z.int(),
    slices: z.array(Slice).readonly(),
    operationId: z.string(),
});

type AssignmentRow = Readonly<z.infer<typeof AssignmentRow>>;

export { AssignmentRow };
