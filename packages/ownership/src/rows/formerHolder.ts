import type { SliceId } from "@arbutusdoor/common";
import * as z from "zod";
import { Holder } from "./holder.js";

/** A holder that may still run work of a slice until there is a stop proof. */
const FormerHolder = Holder.extend({
    /** Id of the slice under which it held the keys; differs from this slice's id after a split. */
    slice: z.string().transform(name => name as SliceId),
    /** Fencing token: the generation below which it must start nothing more. */
    fence: z.int(),
});

type FormerHolder = Readonly<z.infer<typeof FormerHolder>>;

export { FormerHolder };
