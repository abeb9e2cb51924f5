import { build } from "esbuild";
import { fileURLToPath } from "node:url";

const resolvePath = path => fileURLToPath(new URL(path, import.meta.url));

/** Modules of libraries that are replaced by leaner ones: loading unused modules takes most of the start-up time. */
const REPLACEMENTS = [
    { filter: /^undici$/, path: resolvePath("undici.mjs") },
    { filter: /\/client-h2(\.js)?$/, path: resolvePath("noHttp2.mjs") },
    { filter: /^hdr-histogram-js$/, path: resolvePath("hdrHistogram.mjs") },
    { filter: /^\.\/wasm$/, importer: /hdr-histogram-js/, path: resolvePath("noWebAssembly.mjs") },
    { filter: /\/keyHash\.js$/, path: resolvePath("noKeyHash.mjs") },
    // The entry point for browsers: the one for Node.js looks for a native addon, which a bundle cannot hold.
    { filter: /^msgpackr$/, path: resolvePath("../../node_modules/msgpackr/index.js") },
];

const LEAN_MODULES = {
    name: "leanModules",
    setup: ({ onResolve }) => {
        for (const { filter, importer = /./, path } of REPLACEMENTS) {
            onResolve({ filter }, request => importer.test(request.importer) ? { path } : undefined);
        }
    },
};

/**
 * Bundles the platform's program, `program.cjs`, and its launcher, `arbutusdoor.cjs`.
 *
 * @param folder where both are written
 * @returns esbuild's list of what is in them
 */
export async function createBundle(folder) {
    const { metafile } = await build({
        entryPoints: {
            "arbutusdoor": resolvePath("../../platform/dist/launch/launcher.js"),
            "program": resolvePath("../../platform/dist/main.js"),
        },
        outdir: folder,
        outExtension: { ".js": ".cjs" },
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        minify: true,
        metafile: true,
        plugins: [LEAN_MODULES],
        logLevel: "warning",
    });
    return metafile;
}
