/** An entry of a backend server's journal. Times are wall-clock times in ms; an `until` or `ended` that is absent is still open. */
export type ServerEntry =
    | {
        readonly kind: "owned";
        /** Name of the slice: `service/slice`. */
        readonly slice: string;
        readonly generation: number;
        readonly from: number;
        readonly until: number;
    }
    | {
        readonly kind: "run";
        readonly requestId: string;
        readonly idempotencyKey: string | undefined;
        readonly slice: string | undefined;
        readonly generation: number | undefined;
        readonly method: string;
        readonly path: string;
        readonly started: number;
        readonly ended: number | undefined;
        readonly result: "running" | "completed" | "cancelled";
        readonly bodyBytes: number;
        readonly bodySha256: string;
    }
    | {
        readonly kind: "refused";
        readonly time: number;
        readonly requestId: string;
        readonly reason: "shed" | "stale" | "leaving" | "abandoned";
    }
    | {
        /** A request arrived while the server was leaving or wanted none. */
        readonly kind: "arrived";
        readonly time: number;
        readonly requestId: string;
    }
    | {
        /** The answer to a request said that the server leaves, or wants no requests for `pauseMs`. */
        readonly kind: "notice";
        readonly time: number;
        readonly requestId: string;
        readonly isLeaving: boolean;
        readonly pauseMs: number;
    }
    | {
        readonly kind: "orderRefused";
        readonly time: number;
        readonly from: string;
        readonly reason: string;
    };
