import { createRefusal, type Milliseconds, type Refusal } from "@arbutusdoor/common";
import type { IncomingHttpHeaders } from "node:http";
import type { CallerOptions } from "./callerOptions.js";

const DEADLINE_HEADER = "arbutusdoor-deadline-ms";
const IDEMPOTENCY_HEADER = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** The options of a caller, or the refusal of malformed fields. */
type OptionsReading =
    | { readonly kind: "wishes"; readonly wishes: CallerOptions; }
    | { readonly kind: "refusal"; readonly refusal: Refusal; };

/** Reads a caller's deadline, which can only shorten that of the class, and its idempotency key. */
export function readCallerOptions(headers: IncomingHttpHeaders, classDeadline: Milliseconds): OptionsReading {
    const idempotencyKey = getSingle(headers[IDEMPOTENCY_HEADER]);
    if (idempotencyKey !== undefined && idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
        return refuse(`an Idempotency-Key has ${MAX_IDEMPOTENCY_KEY_LENGTH} characters at most`);
    }
    const requested = getSingle(headers[DEADLINE_HEADER]);
    const milliseconds = requested === undefined ? classDeadline : Number(requested);
    if (!(milliseconds > 0)) {
        return refuse(`${DEADLINE_HEADER} must be a positive number of milliseconds`);
    }
    return { kind: "wishes", wishes: { deadline: Math.min(classDeadline, milliseconds), idempotencyKey } };
}

function getSingle(header: string | string[] | undefined): string | undefined {
    return Array.isArray(header) ? header.join(", ") : header;
}

function refuse(detail: string): OptionsReading {
    return { kind: "refusal", refusal: createRefusal("malformedRequest", detail) };
}
