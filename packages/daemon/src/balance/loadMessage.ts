import type { ServiceId, SliceId } from "@arbutusdoor/common";
import * as z from "zod";

const MAX_SLICES = 65_536;
const MAX_KEYS = 1_024;

const sliceId = z.string().transform(name => name as SliceId);

/** A grantor's load report of one keyed service, sent to the coordinator. */
const LoadMessage = z.object({
    service: z.string().transform(name => name as ServiceId),
    report: z.object({
        slices: z.array(z.object({ slice: sliceId, load: z.number().min(0) })).max(MAX_SLICES),
        topKeys: z.array(z.object({ slice: sliceId, key: z.string(), load: z.number().min(0) })).max(
            MAX_KEYS,
        ),
    }),
});

type LoadMessage = z.infer<typeof LoadMessage>;

export { LoadMessage };
