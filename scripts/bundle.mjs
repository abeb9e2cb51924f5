// Bundles the platform's program into one file: loading files one by one takes most of the start-up time.
import { build } from "esbuild";

// Packages in CommonJS load the runtime's own modules by `require`, which a module does not have.
const REQUIRE = "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);";

await build({
    entryPoints: ["platform/dist/main.js"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    banner: { js: REQUIRE },
    outfile: "target/arbutusdoor.mjs",
    logLevel: "warning",
});
