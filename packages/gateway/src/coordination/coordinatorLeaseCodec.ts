import { InputError } from "@arbutusdoor/common";
import * as z from "zod";
import type { CoordinatorLease } from "./coordinatorLease.js";
import type { Predecessor } from "./predecessor.js";

const EncodedLease = z.object({
    term: z.int(),
    host: z.string(),
    incarnation: z.string(),
    address: z.string(),
    expiresAt: z.number(),
    predecessors: z.array(z.object({ host: z.string(), incarnation: z.string(), renewsUntil: z.number() }))
        .default([]),
});

/** Encodes and decodes the coordinator's row. */
export const coordinatorLeaseCodec = {
    encode(lease: CoordinatorLease): Uint8Array {
        return Buffer.from(JSON.stringify(lease));
    },

    /** Throws an InputError when the bytes are not a lease. */
    decode(_key: string, bytes: Uint8Array): CoordinatorLease {
        const parsed = EncodedLease.safeParse(JSON.parse(Buffer.from(bytes).toString("utf8")));
        if (!parsed.success) {
            throw new InputError(`not a lease: ${parsed.error.issues[0]?.message}`);
        }
        const predecessors = parsed.data.predecessors as unknown as readonly Predecessor[];
        return { ...parsed.data, predecessors } as CoordinatorLease;
    },
};
