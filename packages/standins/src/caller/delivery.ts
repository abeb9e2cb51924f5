import * as z from "zod";

/** How a request went out over a connection of its caller. Times are wall-clock times in ms. */
const Delivery = z.strictObject({
    openedAt: z.number(),
    /** When the last byte was sent; absent when the connection ended before. */
    sentWholeAt: z.number().optional(),
    /** Requests before it on the connection that had no answer when it was sent. */
    ahead: z.int(),
    /** Whether the connection had carried an answer before. */
    isReused: z.boolean(),
    /** When an answer said that the host closes the connection. */
    closeAnnouncedAt: z.number().optional(),
    /** Whether the caller itself ended the connection, because its time was over. */
    isGivenUp: z.boolean(),
});

type Delivery = z.infer<typeof Delivery>;

export { Delivery };
