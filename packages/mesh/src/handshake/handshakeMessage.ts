import type { DataCentreId, HostId, HostIncarnation } from "@arbutusdoor/common";
import * as z from "zod";

const MAX_NAME_LENGTH = 255;
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const serialSchema = z.int().min(0);

const helloFields = {
    protocol: z.int(),
    cluster: nameSchema,
    identity: z.strictObject({
        host: nameSchema.transform(name => name as HostId),
        incarnation: nameSchema.transform(name => name as HostIncarnation),
        dataCentre: nameSchema.transform(name => name as DataCentreId),
        address: nameSchema,
    }),
    /** Wall-clock time at which the incarnation started; decides which of two is newer. */
    startedAt: z.number(),
    /** The sender's own serial of this connection. */
    serial: serialSchema,
    /** Random text that the receiver's proof must cover. */
    nonce: nameSchema,
};

/**
 * Handshake messages, encoded as JSON so that every protocol version can read them. The dialler sends `hello`, the other
 * host `reply`, the dialler `proof`; then the host with the lower name sends `open`. Either host may send `refuse` and close.
 * `lost` is the receiver's serial of the last link with the sender that was open at the sender and then lost; 0 for none.
 */
const HandshakeMessage = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("hello"), ...helloFields }),
    z.strictObject({ kind: z.literal("reply"), ...helloFields, proof: nameSchema, lost: serialSchema }),
    z.strictObject({ kind: z.literal("proof"), proof: nameSchema, lost: serialSchema }),
    z.strictObject({ kind: z.literal("open") }),
    z.strictObject({
        kind: z.literal("refuse"),
        reason: z.enum([
            "protocolVersion",
            "cluster",
            "secret",
            "sameHost",
            "duplicateLink",
            "olderIncarnation",
            "stopping",
        ]),
    }),
]);

type HandshakeMessage = z.infer<typeof HandshakeMessage>;

export { HandshakeMessage };
