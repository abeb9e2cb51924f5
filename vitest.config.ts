import { defineConfig } from "vitest/config";

const root = new URL("./packages/", import.meta.url).pathname;

export default defineConfig({
    resolve: {
        alias: [{ find: /^@arbutusdoor\/(\w+)$/, replacement: `${root}$1/src/index.ts` }],
    },
    test: {
        include: ["packages/*/tests/**/*.test.ts"],
        testTimeout: 20_000,
        hookTimeout: 20_000,
        maxWorkers: 4,
    },
});
