import type { DataCentreId, SliceId } from "@arbutusdoor/common";
import * as z from "zod";
import { FormerHolder } from "./formerHolder.js";
import { Holder } from "./holder.js";

/** One slice of a keyed service: a range of key positions, or a single key that takes precedence over any range. */
const Slice = z.object({
    slice: z.string().transform(name => name as SliceId),
    /** First position of the range. */
    from: z.int(),
    /** First position after the range. */
    to: z.int(),
    /** The key, for a slice of a single key. */
    key: z.string().optional(),
    /** Fencing token: grows with each decision about the slice. */
    generation: z.int(),
    /** Data centre whose coordinator alone may decide about the slice, unless it is attested lost. */
    home: z.string().transform(name => name as DataCentreId),
    /** Assigned owner; absent before the initial assignment. */
    owner: Holder.optional(),
    /** Holders without a stop proof. The slice is moving while there are any, and its owner may not take it yet. */
    former: z.array(FormerHolder).readonly(),
});

type Slice = Readonly<z.infer<typeof Slice>>;

export { Slice };
