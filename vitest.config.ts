import { defineConfig } from "vitest/config";

const root = new URL("./packages/", import.meta.url).pathname;
const PROCESS_TESTS = ["packages/daemon/tests/process/**/*.test.ts", "platform/tests/process/**/*.test.ts"];

export default defineConfig({
    resolve: {
        alias: [
            { find: "@arbutusdoor/platform", replacement: `${root}../platform/src/index.ts` },
            { find: /^@arbutusdoor\/(\w+)$/, replacement: `${root}$1/src/index.ts` },
        ],
    },
    test: {
        projects: [
            {
                extends: true,
                test: {
                    name: "unit",
                    include: ["packages/*/tests/**/*.test.ts", "platform/tests/**/*.test.ts"],
                    exclude: PROCESS_TESTS,
                    testTimeout: 20_000,
                    hookTimeout: 20_000,
                    maxWorkers: 4,
                    sequence: { groupOrder: 0 },
                },
            },
            {
                // Each file starts a whole system of processes: one file at a time, after all others.
                extends: true,
                test: {
                    name: "process",
                    include: PROCESS_TESTS,
                    testTimeout: 60_000,
                    hookTimeout: 60_000,
                    fileParallelism: false,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
