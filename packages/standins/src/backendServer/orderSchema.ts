import type { Order } from "@arbutusdoor/clients";
import type {
    HostId,
    HostIncarnation,
    ServerId,
    ServerIncarnation,
    ServiceId,
    SliceId,
} from "@arbutusdoor/common";
import * as z from "zod";

const MAX_GRANTORS = 64;
const MAX_SLICES = 65_536;

const grantorSchema = z.object({
    host: z.string().min(1).transform(name => name as HostId),
    incarnation: z.string().min(1).transform(name => name as HostIncarnation),
});

const sliceSchema = z.object({
    service: z.string().min(1).transform(name => name as ServiceId),
    slice: z.string().min(1).transform(name => name as SliceId),
    generation: z.int().min(0),
});

/** Body of `POST /arbutusdoor/order`. */
export const orderSchema: z.ZodType<Order> = z.object({
    server: z.string().min(1).transform(name => name as ServerId),
    incarnation: z.string().min(1).transform(name => name as ServerIncarnation).optional(),
    from: grantorSchema,
    listVersion: z.int().min(0),
    grantors: z.array(grantorSchema).max(MAX_GRANTORS).optional(),
    epoch: z.int().min(0),
    leaseUntil: z.number().optional(),
    take: z.array(sliceSchema).max(MAX_SLICES),
    fence: z.array(sliceSchema).max(MAX_SLICES),
});
