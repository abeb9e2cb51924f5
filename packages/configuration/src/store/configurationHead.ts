import type { Digest } from "@arbutusdoor/common";
import * as z from "zod";

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;

/** Value of the head row: the last accepted configuration. */
const ConfigurationHead = z.object({
    version: z.int().min(1),
    digest: z.string().regex(DIGEST_PATTERN).transform(text => text as Digest),
});

type ConfigurationHead = z.infer<typeof ConfigurationHead>;

export { ConfigurationHead };
