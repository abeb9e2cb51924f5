/** Answer of a host: parsed JSON and its status. */
export type CallReply = {
    readonly kind: "reply";
    readonly host: string;
    readonly status: number;
    readonly json: unknown;
};
