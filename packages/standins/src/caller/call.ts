/** A request that a caller is about to send. */
export type Call = {
    readonly name: string;
    readonly kind: "read" | "once" | "upload";
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
};
