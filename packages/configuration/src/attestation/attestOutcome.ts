import * as z from "zod";
import { Attestation } from "./attestation.js";

/**
 * How an attestation ended: `recorded` (by this operation or an earlier one; the row is returned), `notRun`, or `unknown`
 * (it may have been recorded, or may be later; attesting again is harmless).
 */
const AttestOutcome = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("recorded"), attestation: Attestation }),
    z.object({ kind: z.literal("notRun"), reason: z.string() }),
    z.object({ kind: z.literal("unknown"), reason: z.string() }),
]);

type AttestOutcome = z.infer<typeof AttestOutcome>;

export { AttestOutcome };
