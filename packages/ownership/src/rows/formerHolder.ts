import type { SliceId } from "@arbutusdoor/common";
import { z } from "zod";
import { Holder } from "./holder.js";

/** A holder that may still run work of a slice until a stop proof is in hand. */
const FormerHolder = Holder.extend({
    /** Name under which it held the keys; differs from the slice's name after a split. */
    slice: z.string().transform(name => name as SliceId),
    /** Generation below which it must start nothing more. */
    fence: z.int(),
});

type FormerHolder = Readonly<z.infer<typeof FormerHolder>>;

export { FormerHolder };
