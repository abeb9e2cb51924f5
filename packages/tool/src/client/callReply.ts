/** Answer of a host: HTTP status and parsed JSON body. */
export type CallReply = {
    readonly kind: "reply";
    readonly host: string;
    readonly status: number;
    readonly json: unknown;
};
