/** A service as the operator configures it, with the one route to it. */
export type ConfiguredService = {
    readonly name: string;
    readonly isKeyed: boolean;
    /** Kind of its route, in the platform's words. */
    readonly kind: "safe" | "unsafe" | "upload";
};
