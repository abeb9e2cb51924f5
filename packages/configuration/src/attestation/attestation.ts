import * as z from "zod";
import { Loss } from "./loss.js";

const record = z.object({
    /** Who attested the loss. */
    by: z.string(),
    /** Wall-clock time in ms. */
    attestedAt: z.number(),
    operationId: z.string(),
});

/** Value of a row that records an operator's attestation that something is lost and will not act again. */
const Attestation = z.intersection(Loss, record);

type Attestation = z.infer<typeof Attestation>;

export { Attestation };
