import * as z from "zod";

const reference = z.object({ version: z.int(), digest: z.string() });

const peer = z.looseObject({
    host: z.string(),
    dataCentre: z.string(),
    isConnected: z.boolean(),
});

const hostVersion = z.looseObject({
    host: z.string(),
    dataCentre: z.string().optional(),
    /** Last version that the host announced as in force; 0 when it has announced none. */
    version: z.int(),
    /** Whether the host has the answering host's version or a newer one in force. */
    isConfirmed: z.boolean(),
});

const serverState = z.looseObject({
    server: z.string(),
    service: z.string(),
    dataCentre: z.string(),
    /** One word for human readers: `draining`, `barred`, `known` or `unknown`. */
    state: z.string(),
    incarnation: z.string().optional(),
    grantors: z.array(z.string()).default([]),
});

const coordinator = z.looseObject({ dataCentre: z.string(), host: z.string().optional() });

/** Body of `GET /v1/status`: the system as seen by one entry host. */
const SystemStatus = z.looseObject({
    host: z.string(),
    incarnation: z.string(),
    dataCentre: z.string(),
    /** Absent before the first configuration. */
    configuration: reference.optional(),
    peers: z.array(peer),
    /** All hosts known to this one, including itself. */
    hosts: z.array(hostVersion),
    servers: z.array(serverState),
    deciders: z.array(coordinator),
});

type SystemStatus = z.infer<typeof SystemStatus>;

export { SystemStatus };
