import * as z from "zod";
import { nameSchema } from "./names.js";

const DEFAULT_DEADLINE_MS = 2_000;
const DEFAULT_BODY_LIMIT_BYTES = 1_048_576;
const DEFAULT_PROGRESS_TIMEOUT_MS = 10_000;

/** A kind of request of a service. */
const RequestClass = z.strictObject({
    name: nameSchema,
    /** HTTP methods of the class; a request belongs to the first matching class of its service. */
    methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    /** Prefix of the path after the service and the key. */
    pathPrefix: z.string().startsWith("/").default("/"),
    /** Whether running a request twice has the same effect as running it once. */
    isIdempotent: z.boolean(),
    /** Time in ms from arrival at an entry host to the head of the answer. */
    deadlineMs: z.int().min(1).max(3_600_000).default(DEFAULT_DEADLINE_MS),
    /** Requests of higher priority are sent first and refused last. */
    priority: z.int().min(0).max(100).default(50),
    /** Maximum number of retries of one request, within the retry budget of the service. */
    retries: z.int().min(0).max(5).default(1),
    bodyLimitBytes: z.int().min(0).default(DEFAULT_BODY_LIMIT_BYTES),
    /** Longest time in ms without a byte in either direction before a body counts as stalled. */
    progressTimeoutMs: z.int().min(10).max(600_000).default(DEFAULT_PROGRESS_TIMEOUT_MS),
    /** What to do with a request that has an Idempotency-Key while the table service is unavailable. */
    intentOutage: z.enum(["refuse", "serve"]).default("refuse"),
    /** Backend servers that take the class; all servers of the service when absent. Pooled services only. */
    servers: z.array(nameSchema).min(1).optional(),
});

type RequestClass = z.infer<typeof RequestClass>;

export { RequestClass };
