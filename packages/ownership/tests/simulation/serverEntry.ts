/** One entry of a server's own journal; `time` is true time. */
export type ServerEntry = {
    readonly time: number;
    readonly server: string;
    readonly incarnation: string;
    readonly checksOrders: boolean;
    readonly event:
        | { readonly kind: "takes" | "drops"; readonly slice: string; readonly generation: number; }
        | {
            readonly kind: "starts";
            /** When the grantor sent the request. */
            readonly sentAt: number;
            readonly request: string;
            readonly key: string;
            readonly generation: number;
        }
        | { readonly kind: "ends"; readonly request: string; readonly key: string; }
        | { readonly kind: "freezes"; };
};
