import { z } from "zod";
import { Loss } from "./loss.js";

/** Value of a row that records an operator's word that something is lost and will not act again. */
const Attestation = z.object({
    loss: Loss,
    /** Who said so. */
    by: z.string(),
    /** Wall-clock time in ms. */
    attestedAt: z.number(),
    operationId: z.string(),
});

type Attestation = z.infer<typeof Attestation>;

export { Attestation };
