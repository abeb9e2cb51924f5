import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        plugins: { "@stylistic": stylistic },
        languageOptions: {
            parserOptions: {
                project: ["./packages/*/tsconfig.json", "./platform/tsconfig.json", "./tsconfig.tests.json"],
                tsconfigRootDir: import.meta.dirname,
            },
        },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": [
                "error",
                { considerDefaultExhaustiveForUnions: true },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["function", "method"], format: ["camelCase"], leadingUnderscore: "forbid" },
                {
                    selector: ["variable", "parameter"],
                    modifiers: ["unused"],
                    format: null,
                },
                {
                    selector: ["variable", "parameter"],
                    format: ["camelCase", "UPPER_CASE", "PascalCase"],
                    leadingUnderscore: "forbid",
                },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { caughtErrors: "none" }],
            "@stylistic/max-statements-per-line": ["error", { max: 1 }],
            "@stylistic/brace-style": ["error", "stroustrup"],
            "@stylistic/quotes": ["error", "double", { avoidEscape: true }],
            "no-restricted-syntax": [
                "error",
                {
                    selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
                    message: "Take the time from a Clock.",
                },
                {
                    selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
                    message: "Take random numbers from a RandomSource.",
                },
                {
                    selector: "CallExpression[callee.object.name='performance'][callee.property.name='now']",
                    message: "Take the time from a Clock.",
                },
                {
                    selector: "TSNullKeyword",
                    message: "Use undefined.",
                },
            ],
            "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
            eqeqeq: "error",
            "prefer-const": "error",
        },
    },
    {
        files: ["packages/common/src/time/systemClock.ts"],
        rules: { "no-restricted-syntax": "off" },
    },
    {
        // The bundle of the platform's program replaces the hash of keys by a function that throws.
        files: ["packages/gateway/src/**/*.ts", "packages/policy/src/**/*.ts", "platform/src/**/*.ts"],
        rules: {
            "no-restricted-imports": [
                "error",
                {
                    paths: [{
                        name: "@arbutusdoor/common",
                        importNames: ["getKeyHash"],
                        message: "The platform's program has no hash of keys; use getNameHash.",
                    }],
                },
            ],
        },
    },
);
