/** A seed of the soak that once failed. */
type SoakRegression = {
    readonly seed: number;
    readonly durationMs: number;
    readonly cause: string;
};

/** Every seed of the soak that ever found a fault of the product, with its cause. */
export const SOAK_REGRESSIONS: readonly SoakRegression[] = [
    {
        seed: 100,
        durationMs: 25_000,
        cause:
            "a host that started while cut off from the store ignored all maps of keys but the newest in the coordinator's greeting",
    },
];
